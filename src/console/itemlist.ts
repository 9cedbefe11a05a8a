import type {Problem} from '../config/index.js';
import {renderField, type Field} from './field.js';
import {html, type Content, type Markup} from '../markup/index.js';
import {listAt, textOf, valueAt, type Json} from './json.js';

/** Items of one list that a page shows. */
export interface ItemRange {
  from: number;
  count: number;
}

/** One page of the editor: some lists of the document with their fields. */
export interface Section {
  /** Name in the URL. */
  name: string;
  title: string;
  /** Explains the page in a sentence or two. */
  introduction: string;
  lists: ItemList[];
}

/** A list of the document and the form of each of its items. */
export interface ItemList {
  path: string;
  title: string;
  /** What one item is called, such as `class`. */
  noun: string;
  /** Items shown on one page. */
  pageSize: number;
  /** Fields of the item at `path`. */
  fields: (path: string, document: Json) => Field[];
  /** Lists within the item at `path`. */
  nestedLists?: (path: string, document: Json) => InnerList[];
  /** Buttons and notes within the item at `path`. */
  renderExtra?: (path: string, document: Json) => Content;
}

/** A list within an item of an [[ItemList]]. */
export interface InnerList {
  path: string;
  title: string;
  noun: string;
  fields: (path: string, document: Json) => Field[];
}

/** Every field of the items that a page shows. */
export function shownFields(
  list: ItemList,
  document: Json,
  range: ItemRange,
): Field[] {
  return pathsIn(list.path, document, range).flatMap(path => [
    ...list.fields(path, document),
    ...(list.nestedLists?.(path, document) ?? []).flatMap(inner =>
      allPaths(inner.path, document).flatMap(at => inner.fields(at, document)),
    ),
  ]);
}

/** Renders the items that a page shows, with buttons to add and remove. */
export function renderList(
  list: ItemList,
  document: Json,
  problems: readonly Problem[],
  range: ItemRange,
): Markup {
  const items = pathsIn(list.path, document, range).map(path =>
    renderItem(list, path, document, problems),
  );
  return html`<section aria-label="${list.title}">
    <h2>${list.title}</h2>
    ${pager(list, document, range)} ${items}
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
  const title = titleOf(list.noun, path, document);
  const inner = (list.nestedLists?.(path, document) ?? []).map(one =>
    renderInner(one, document, problems),
  );
  return html`<fieldset>
    <legend>${title}</legend>
    ${renderFields(list.fields(path, document), document, problems)}
    ${list.renderExtra?.(path, document)} ${inner}
    <p class="actions">
      ${actionButton(`remove:${path}`, `Remove ${title}`, 'remove')}
    </p>
  </fieldset>`;
}

function renderInner(
  inner: InnerList,
  document: Json,
  problems: readonly Problem[],
): Markup {
  const items = allPaths(inner.path, document).map(path => {
    const title = titleOf(inner.noun, path, document);
    return html`<fieldset>
      <legend>${title}</legend>
      ${renderFields(inner.fields(path, document), document, problems)}
      <p class="actions">
        ${actionButton(`remove:${path}`, `Remove ${title}`, 'remove')}
      </p>
    </fieldset>`;
  });
  return html`<fieldset>
    <legend>${inner.title}</legend>
    ${items}
    <p class="actions">
      ${actionButton(`add:${inner.path}`, `Add ${inner.noun}`, 'quiet')}
    </p>
  </fieldset>`;
}

function renderFields(
  fields: Field[],
  document: Json,
  problems: readonly Problem[],
): Markup {
  const isSet = (field: Field) => field.kind.type === 'set';
  const plain = fields.filter(field => !isSet(field));
  const sets = fields.filter(isSet);
  return html`<div class="fields">
      ${plain.map(field => renderField(field, document, problems))}
    </div>
    ${sets.map(field => renderField(field, document, problems))}`;
}

/** A button that submits the form with an action. */
export function actionButton(
  action: string,
  label: string,
  look: string,
): Markup {
  return html`<button class="${look}" name="action" value="${action}">
    ${label}
  </button>`;
}

function titleOf(noun: string, path: string, document: Json): string {
  const name = textOf(valueAt(document, `${path}.name`));
  const number = Number(path.split('.').at(-1)) + 1;
  return name === '' ? `${noun} ${number}` : `${noun} ${name}`;
}

function pager(list: ItemList, document: Json, range: ItemRange): Markup {
  const total = listAt(document, list.path).length;
  if (total <= range.count) return html``;
  const last = Math.min(total, range.from + range.count);
  const before = range.from > 0;
  const after = last < total;
  return html`<p class="actions">
    <span>${range.from + 1} to ${last} of ${total}</span>
    ${
      before &&
      actionButton(`page:${range.from - range.count}`, 'Previous', 'quiet')
    }
    ${
      after && actionButton(`page:${range.from + range.count}`, 'Next', 'quiet')
    }
  </p>`;
}

function pathsIn(path: string, document: Json, range: ItemRange): string[] {
  return allPaths(path, document).slice(range.from, range.from + range.count);
}

function allPaths(path: string, document: Json): string[] {
  return listAt(document, path).map((_, index) => `${path}.${index}`);
}
