import type {Problem} from '../config/index.js';
import {html, type Markup} from '../markup/index.js';
import {setAt, textOf, valueAt, type Json} from './json.js';

/** Kinds of form fields. */
export type FieldKind =
  | {type: 'text'}
  | {type: 'number'}
  | {type: 'check'}
  /** A list of texts, separated by commas. */
  | {type: 'texts'}
  | {type: 'choice'; options: readonly string[]; optional?: boolean}
  /** Check boxes that put their text into a list. */
  | {type: 'set'; options: readonly string[]};

/** A form field that edits one value of the document. */
export interface Field {
  /** Path of the value, which is also the name of the field. */
  path: string;
  label: string;
  kind: FieldKind;
  hint?: string;
}

/** Field of the form that marks which fields were on the page. */
export const SHOWN_FIELD = 'shown';

/** Renders a field with its label, its hint and the problems of its value. */
export function renderField(
  field: Field,
  document: Json,
  problems: readonly Problem[],
): Markup {
  const own = problems.filter(
    ({path}) => path === field.path || path.startsWith(`${field.path}.`),
  );
  const notes = own.map(({reason}) => reason);
  const noteId = `${field.path}-problem`;
  const hintId = `${field.path}-hint`;
  const described = [
    ...(notes.length > 0 ? [noteId] : []),
    ...(field.hint === undefined ? [] : [hintId]),
  ].join(' ');
  const value = valueAt(document, field.path);
  const state = {invalid: notes.length > 0, described};
  const hint =
    field.hint !== undefined &&
    html`<p class="hint" id="${hintId}">${field.hint}</p>`;
  const note =
    notes.length > 0 &&
    html`<p class="problem" id="${noteId}">${notes.join('; ')}</p>`;
  if (field.kind.type === 'set') {
    return html`<fieldset aria-describedby="${described}">
      <legend>${field.label}</legend>
      ${setBoxes(field, field.kind.options, value)} ${hint} ${note}
    </fieldset>`;
  }
  const control = renderControl(field, value, state);
  const label = html`<label for="${field.path}">${field.label}</label>`;
  const isCheck = field.kind.type === 'check';
  const order = isCheck ? [control, label] : [label, control];
  return html`<div class="field ${isCheck && 'check'}">
    ${order} ${hint} ${note} ${shownMark(field.path)}
  </div>`;
}

function shownMark(path: string): Markup {
  return html`<input type="hidden" name="${SHOWN_FIELD}" value="${path}" />`;
}

interface ControlState {
  invalid: boolean;
  described: string;
}

function renderControl(
  {path, kind}: Field,
  value: Json | undefined,
  {invalid, described}: ControlState,
): Markup {
  const aria = html`aria-invalid="${invalid ? 'true' : 'false'}"
  aria-describedby="${described}"`;
  switch (kind.type) {
    case 'text':
      return html`<input
        id="${path}"
        name="${path}"
        value="${textOf(value)}"
        ${aria}
      />`;
    case 'number':
      return html`<input
        id="${path}"
        name="${path}"
        value="${textOf(value)}"
        inputmode="decimal"
        ${aria}
      />`;
    case 'texts': {
      const items = Array.isArray(value) ? value.map(textOf) : [textOf(value)];
      return html`<input
        id="${path}"
        name="${path}"
        value="${items.join(', ')}"
        ${aria}
      />`;
    }
    case 'check':
      return html`<input
        type="checkbox"
        id="${path}"
        name="${path}"
        value="true"
        ${value === true && 'checked'}
        ${aria}
      />`;
    case 'choice':
      return html`<select id="${path}" name="${path}" ${aria}>
        ${choices(kind, textOf(value))}
      </select>`;
    case 'set':
      return html``;
  }
}

function choices(
  kind: Extract<FieldKind, {type: 'choice'}>,
  value: string,
): Markup[] {
  const known = [...(kind.optional === true ? [''] : []), ...kind.options];
  const all = known.includes(value) ? known : [...known, value];
  return all.map(
    option =>
      html`<option value="${option}" ${option === value && 'selected'}>
        ${option === '' ? 'none' : option}
      </option>`,
  );
}

function setBoxes(
  {path}: Field,
  options: readonly string[],
  value: Json | undefined,
): Markup {
  const chosen = Array.isArray(value) ? value.map(textOf) : [];
  const all = [...new Set([...options, ...chosen])];
  const boxes = all.map(
    (option, index) =>
      html`<div class="field check">
        <input
          type="checkbox"
          id="${path}-${index}"
          name="${path}"
          value="${option}"
          ${chosen.includes(option) && 'checked'}
        /><label for="${path}-${index}">${option}</label>
      </div>`,
  );
  return html`${shownMark(path)}
    <div class="fields">${boxes}</div>`;
}

/** Reads a field that a submitted form showed into the document. */
export function readField(
  {path, kind}: Field,
  form: URLSearchParams,
  document: Json,
): void {
  setAt(document, path, parseValue(kind, form.getAll(path)));
}

function parseValue(
  kind: FieldKind,
  values: readonly string[],
): Json | undefined {
  const text = (values[0] ?? '').trim();
  switch (kind.type) {
    case 'text':
    case 'choice':
      return text === '' ? undefined : text;
    case 'number': {
      if (text === '') return undefined;
      const number = Number(text);
      // A text that is no number is kept, for its field to show the problem.
      return Number.isFinite(number) ? number : text;
    }
    case 'check':
      return text === 'true';
    case 'texts':
      return text
        .split(',')
        .map(item => item.trim())
        .filter(item => item !== '');
    case 'set':
      return [...values];
  }
}
