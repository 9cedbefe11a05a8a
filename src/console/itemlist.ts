import type {Problem} from '../config/index.js';
import {renderField, type Field} from './field.js';
import {html, type Content, type Markup} from '../markup/index.js';
import {listAt, textOf, valueAt, type Json} from './json.js';

/** The items of a list that a page shows. */
export interface ItemRange {
  /** Index of the first item. */
  from: number;
  count: number;
}

/** A section of the editor: the lists of the document edited on one page. */
export interface Section {
  /** Name in the URL. */
  name: string;
  title: string;
  /** Text of a sentence or two above the form. */
  introduction: string;
  lists: ItemList[];
}

/** A list of the document and how its items are edited. */
export interface ItemList {
  /** Path of the list in the document. */
  path: string;
  title: string;
  /** Name for one item in headings and buttons, such as `class`. */
  noun: string;
  /** Number of items shown on one page. */
  pageSize: number;
  /** Fields of the item at `path`. */
  fields: (path: string, document: Json) => Field[];
  /** Lists within the item at `path`. */
  nestedLists?: (path: string, document: Json) => NestedList[];
  /** Renders further content, such as buttons, within the item at `path`. */
  renderExtra?: (path: string, document: Json) => Content;
}

/** A list within an item of an [[ItemList]]. */
export interface NestedList {
  path: string;
  title: string;
  noun: string;
  fields: (path: string, document: Json) => Field[];
}

/** Returns all fields of the items that a page shows. */
export function shownFields(
  list: ItemList,
  document: Json,
  range: ItemRange,
): Field[] {
  return shownItemPaths(list.path, document, range).flatMap(path => [
    ...list.fields(path, document),
    ...(list.nestedLists?.(path, document) ?? []).flatMap(nested =>
      itemPaths(nested.path, document).flatMap(nestedPath =>
        nested.fields(nestedPath, document),
      ),
    ),
  ]);
}

/** Renders the shown items of a list, with buttons to add and remove items. */
export function renderList(
  list: ItemList,
  document: Json,
  problems: readonly Problem[],
  range: ItemRange,
): Markup {
  const items = shownItemPaths(list.path, document, range).map(path =>
    renderItem(list, path, document, problems),
  );
  return html`<section aria-label="${list.title}">
    <h2>${list.title}</h2>
    ${renderPager(list, document, range)} ${items}
    <p class="actions">
      ${actionButton(`add:${list.path}`, `Add ${list.noun}`, 'quiet')}
    </p>
  </section>`;
}

function renderItem(
  list: ItemList,
  path: string,
  document: Json,
  problems: readonly Problem[],
): Markup {
  const title = itemTitle(list.noun, path, document);
  const nestedLists = (list.nestedLists?.(path, document) ?? []).map(nested =>
    renderNestedList(nested, document, problems),
  );
  return html`<fieldset>
    <legend>${title}</legend>
    ${renderFields(list.fields(path, document), document, problems)}
    ${list.renderExtra?.(path, document)} ${nestedLists}
    <p class="actions">
      ${actionButton(`remove:${path}`, `Remove ${title}`, 'remove')}
    </p>
  </fieldset>`;
}

function renderNestedList(
  nested: NestedList,
  document: Json,
  problems: readonly Problem[],
): Markup {
  const items = itemPaths(nested.path, document).map(path => {
    const title = itemTitle(nested.noun, path, document);
    return html`<fieldset>
      <legend>${title}</legend>
      ${renderFields(nested.fields(path, document), document, problems)}
      <p class="actions">
        ${actionButton(`remove:${path}`, `Remove ${title}`, 'remove')}
      </p>
    </fieldset>`;
  });
  return html`<fieldset>
    <legend>${nested.title}</legend>
    ${items}
    <p class="actions">
      ${actionButton(`add:${nested.path}`, `Add ${nested.noun}`, 'quiet')}
    </p>
  </fieldset>`;
}

function renderFields(
  fields: Field[],
  document: Json,
  problems: readonly Problem[],
): Markup {
  const isSet = (field: Field) => field.kind.type === 'set';
  const otherFields = fields.filter(field => !isSet(field));
  const setFields = fields.filter(isSet);
  return html`<div class="fields">
      ${otherFields.map(field => renderField(field, document, problems))}
    </div>
    ${setFields.map(field => renderField(field, document, problems))}`;
}

/** Renders a button that submits the form with an action. */
export function actionButton(
  action: string,
  label: string,
  className: string,
): Markup {
  return html`<button class="${className}" name="action" value="${action}">
    ${label}
  </button>`;
}

function itemTitle(noun: string, path: string, document: Json): string {
  const name = textOf(valueAt(document, `${path}.name`));
  const number = Number(path.split('.').at(-1)) + 1;
  return name === '' ? `${noun} ${number}` : `${noun} ${name}`;
}

function renderPager(list: ItemList, document: Json, range: ItemRange): Markup {
  const total = listAt(document, list.path).length;
  if (total <= range.count) return html``;
  const end = Math.min(total, range.from + range.count);
  const hasPrevious = range.from > 0;
  const hasNext = end < total;
  return html`<p class="actions">
    <span>${range.from + 1} to ${end} of ${total}</span>
    ${
      hasPrevious &&
      actionButton(`page:${range.from - range.count}`, 'Previous', 'quiet')
    }
    ${
      hasNext &&
      actionButton(`page:${range.from + range.count}`, 'Next', 'quiet')
    }
  </p>`;
}

function shownItemPaths(
  path: string,
  document: Json,
  range: ItemRange,
): string[] {
  return itemPaths(path, document).slice(range.from, range.from + range.count);
}

function itemPaths(path: string, document: Json): string[] {
  return listAt(document, path).map((_, index) => `${path}.${index}`);
}
