import type {Problem} from '../config/index.js';
import {html, type Markup} from '../markup/index.js';
import {setAt, textOf, valueAt, type Json} from './json.js';

/** How a form field is rendered and parsed. */
export type FieldKind =
  | {type: 'text'}
  | {type: 'number'}
  | {type: 'check'}
  /** A list of texts, entered as one text separated by commas. */
  | {type: 'texts'}
  | {type: 'choice'; options: readonly string[]; optional?: boolean}
  /** Check boxes; the value is the list of the checked options. */
  | {type: 'set'; options: readonly string[]};

/** A form field that edits one value of the document. */
export interface Field {
  /** Path of the value, which is also the name of the field. */
  path: string;
  label: string;
  kind: FieldKind;
  hint?: string;
}

/**
 * Form field that lists the paths of the fields on the page. Browsers send
 * nothing for an unchecked box, so without it an unchecked box could not be
 * told from a field that was not on the page.
 */
export const SHOWN_FIELD = 'shown';

/** Renders a field with its label, its hint and its validation problems. */
export function renderField(
  field: Field,
  document: Json,
  problems: readonly Problem[],
): Markup {
  const fieldProblems = problems.filter(
    ({path}) => path === field.path || path.startsWith(`${field.path}.`),
  );
  const reasons = fieldProblems.map(({reason}) => reason);
  const problemId = `${field.path}-problem`;
  const hintId = `${field.path}-hint`;
  const describedBy = [
    ...(reasons.length > 0 ? [problemId] : []),
    ...(field.hint === undefined ? [] : [hintId]),
  ].join(' ');
  const value = valueAt(document, field.path);
  const controlState = {invalid: reasons.length > 0, describedBy};
  const hint =
    field.hint !== undefined &&
    html`<p class="hint" id="${hintId}">${field.hint}</p>`;
  const note =
    reasons.length > 0 &&
    html`<p class="problem" id="${problemId}">${reasons.join('; ')}</p>`;
  if (field.kind.type === 'set') {
    return html`<fieldset aria-describedby="${describedBy}">
      <legend>${field.label}</legend>
      ${renderCheckboxes(field, field.kind.options, value)} ${hint} ${note}
    </fieldset>`;
  }
  const control = renderControl(field, value, controlState);
  const label = html`<label for="${field.path}">${field.label}</label>`;
  const isCheck = field.kind.type === 'check';
  const order = isCheck ? [control, label] : [label, control];
  return html`<div class="field ${isCheck && 'check'}">
    ${order} ${hint} ${note} ${shownInput(field.path)}
  </div>`;
}

function shownInput(path: string): Markup {
  return html`<input type="hidden" name="${SHOWN_FIELD}" value="${path}" />`;
}

interface ControlState {
  invalid: boolean;
  describedBy: string;
}

function renderControl(
  {path, kind}: Field,
  value: Json | undefined,
  {invalid, describedBy}: ControlState,
): Markup {
  const aria = html`aria-invalid="${invalid ? 'true' : 'false'}"
  aria-describedby="${describedBy}"`;
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
        ${optionElements(kind, textOf(value))}
      </select>`;
    case 'set':
      return html``;
  }
}

function optionElements(
  kind: Extract<FieldKind, {type: 'choice'}>,
  value: string,
): Markup[] {
  const listedOptions = [
    ...(kind.optional === true ? [''] : []),
    ...kind.options,
  ];
  const allOptions = listedOptions.includes(value)
    ? listedOptions
    : [...listedOptions, value];
  return allOptions.map(
    option =>
      html`<option value="${option}" ${option === value && 'selected'}>
        ${option === '' ? 'none' : option}
      </option>`,
  );
}

function renderCheckboxes(
  {path}: Field,
  options: readonly string[],
  value: Json | undefined,
): Markup {
  const checkedOptions = Array.isArray(value) ? value.map(textOf) : [];
  const allOptions = [...new Set([...options, ...checkedOptions])];
  const boxes = allOptions.map(
    (option, index) =>
      html`<div class="field check">
        <input
          type="checkbox"
          id="${path}-${index}"
          name="${path}"
          value="${option}"
          ${checkedOptions.includes(option) && 'checked'}
        /><label for="${path}-${index}">${option}</label>
      </div>`,
  );
  return html`${shownInput(path)}
    <div class="fields">${boxes}</div>`;
}

/** Writes the submitted value of a field into the document. */
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
      // Text that is not a number is kept, so that validation reports it.
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
