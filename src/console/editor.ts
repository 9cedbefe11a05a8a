import {
  checkDocument,
  type AcceptedConfiguration,
  type Problem,
} from '../config/index.js';
import {
  normalizeDocument,
  applyAction,
  parseAction,
  type NewKey,
} from './action.js';
import {changesBetween} from './diff.js';
import {encodeDraft, type Draft} from './draft.js';
import {readField, SHOWN_FIELD} from './field.js';
import type {Session} from './authenticator.js';
import {html, type Content, type Markup} from '../markup/index.js';
import {layout, formTokenField} from './layout.js';
import {textOf, valueAt} from './json.js';
import {problemList} from './problems.js';
import {reviewPage} from './review.js';
import {SECTIONS, findSection} from './sections.js';
import {
  actionButton,
  shownFields,
  renderList,
  type ItemList,
  type ItemRange,
  type Section,
} from './itemlist.js';

/** Form field that carries the draft. */
export const DRAFT_FIELD = 'draft';
/** Form field with the first item that the page shows. */
const FROM_FIELD = 'from';

/** What an edit page shows. */
export interface EditorView {
  session: Session;
  section: Section;
  draft: Draft;
  from: number;
  /** Configuration in force, which may be newer than the draft's base. */
  current: AcceptedConfiguration | undefined;
  newKey?: NewKey;
}

/** Takes one step of the editor from a submitted form, and shows its result. */
export function applyEditorStep(
  section: Section,
  draft: Draft,
  form: URLSearchParams,
  session: Session,
  current: AcceptedConfiguration | undefined,
): Markup {
  const from = Number(form.get(FROM_FIELD)) || 0;
  takeFields(section, draft, form, from);
  normalizeDocument(draft.document);
  const action = parseAction(form.get('action') ?? '');
  const newKey = applyAction(action, draft.document);
  if (action.type === 'review') return reviewPage(session, draft, section);
  const view: EditorView = {
    session,
    section:
      action.type === 'edit'
        ? (findSection(action.section) ?? section)
        : section,
    draft,
    from: action.type === 'edit' ? 0 : from,
    current,
    ...(newKey === undefined ? {} : {newKey}),
  };
  if (action.type === 'page') view.from = action.from;
  return editorPage(view);
}

/** Writes the values of a submitted form into the draft. */
function takeFields(
  section: Section,
  draft: Draft,
  form: URLSearchParams,
  from: number,
): void {
  const shown = new Set(form.getAll(SHOWN_FIELD));
  for (const list of section.lists) {
    for (const field of shownFields(
      list,
      draft.document,
      rangeOf(list, from),
    )) {
      if (shown.has(field.path)) readField(field, form, draft.document);
    }
  }
}

/** Renders a page of the editor. */
export function editorPage(view: EditorView): Markup {
  const {section, draft, session, from} = view;
  const checked = checkDocument(draft.document);
  const problems = checked.isErr() ? checked.error.problems : [];
  const lists = section.lists.map(list =>
    renderList(list, draft.document, problems, rangeOf(list, from)),
  );
  const path = `/console/edit/${section.name}`;
  return layout(
    section.title,
    path,
    session,
    html`<p>${section.introduction}</p>
      ${stateNotices(view, problems)}
      <form method="post" action="${path}">
        ${formTokenField(session)}
        <input
          type="hidden"
          name="${DRAFT_FIELD}"
          value="${encodeDraft(draft)}"
        />
        <input type="hidden" name="${FROM_FIELD}" value="${from}" />
        ${toolbar(section)} ${lists} ${toolbar(section)}
      </form>`,
  );
}

/** The buttons above and below the fields. Enter takes the first one. */
function toolbar(section: Section): Markup {
  const others = SECTIONS.filter(({name}) => name !== section.name).map(
    ({name, title}) =>
      actionButton(`edit:${name}`, `Keep and edit ${title}`, 'quiet'),
  );
  return html`<p class="actions">
    ${actionButton('check', 'Check', 'quiet')}
    ${actionButton('review', 'Review changes', '')} ${others}
  </p>`;
}

function stateNotices(view: EditorView, problems: readonly Problem[]): Content {
  const {draft, current, newKey} = view;
  const count = changesBetween(draft.origin, draft.document).length;
  const stale = current !== undefined && current.version !== draft.base;
  return [
    html`<p class="muted">
      Based on version ${draft.base}. Values changed and not yet published:
      ${count}.
    </p>`,
    stale &&
      html`<p class="notice" role="status">
        Version ${current.version} came into force since this draft was started.
        Publishing will show both changes.
      </p>`,
    newKey !== undefined && keyNotice(view, newKey),
    problems.length > 0 && problemList('The draft is not valid yet:', problems),
  ];
}

function keyNotice({draft}: EditorView, {workspacePath, key}: NewKey): Markup {
  const name = textOf(valueAt(draft.document, `${workspacePath}.name`));
  return html`<p class="notice good" role="status">
    New key of workspace ${name}: <code id="new-key">${key}</code><br />
    It is shown this once and takes effect when the draft is published.
  </p>`;
}

function rangeOf(list: ItemList, from: number): ItemRange {
  return {from, count: list.pageSize};
}
