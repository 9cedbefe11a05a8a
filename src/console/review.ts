import {checkDocument, type AcceptedConfiguration} from '../config/index.js';
import {changesBetween, mergeChanges, type Change} from './diff.js';
import {encodeDraft, type Draft} from './draft.js';
import type {Session} from './authenticator.js';
import {html, type Content, type Markup} from '../markup/index.js';
import {layout, formTokenField} from './layout.js';
import {textOf, type Json} from './json.js';
import {problemList} from './problems.js';
import type {PublishResult} from './publisher.js';
import {actionButton, type Section} from './itemlist.js';

/** Shows what a draft changes, before it is published. */
export function reviewPage(
  session: Session,
  draft: Draft,
  section: Section,
): Markup {
  const changes = changesBetween(draft.origin, draft.document);
  const checked = checkDocument(draft.document);
  const problems = checked.isErr() ? checked.error.problems : [];
  const mayPublish = problems.length === 0 && changes.length > 0;
  const body = html`<p>
      Values that differ from version ${draft.base}: ${changes.length}.
    </p>
    ${problems.length > 0 && problemList("The draft can't be published yet:", problems)}
    ${changes.length > 0 && changeTable(changes)}
    ${mayPublish && draftForm(session, draft, '/console/publish', publishButton())}
    ${backForm(session, draft, section.name)}`;
  return layout('Review changes', '', session, body);
}

function publishButton(): Markup {
  return html`<button>Publish</button>`;
}

/** Shows how publishing a draft ended. Whatever was typed stays in the draft. */
export function publicationPage(
  session: Session,
  draft: Draft,
  publication: PublishResult,
  current: AcceptedConfiguration | undefined,
): Markup {
  switch (publication.type) {
    case 'accepted':
      return layout(
        'Published',
        '',
        session,
        html`<p class="notice good" role="status">
            The change is in force as version ${publication.version}.
          </p>
          <p><a href="/console/fleet">See which instances have it</a></p>`,
      );
    case 'invalid':
      return layout(
        'Not published',
        '',
        session,
        html`${problemList('The document was refused:', publication.problems)}
        ${backForm(session, draft, 'classes')}`,
      );
    case 'verdictTimeout':
      return layout(
        'No verdict yet',
        '',
        session,
        html`<p class="notice bad" role="alert">
            The log gave no verdict in time. The change may yet take effect, or
            be lost. Publishing again is safe: if it did take effect, the next
            attempt shows as a conflict with your own change.
          </p>
          ${draftForm(session, draft, '/console/publish', html`<button>Publish again</button>`)}
          ${backForm(session, draft, 'classes')}`,
      );
    case 'conflict':
      return conflictPage(session, draft, current);
  }
}

/** Shows both changes and offers to bring them together. */
function conflictPage(
  session: Session,
  draft: Draft,
  current: AcceptedConfiguration | undefined,
): Markup {
  const theirs = JSON.parse(
    JSON.stringify(current?.document ?? draft.origin),
  ) as Json;
  const version = current?.version ?? draft.base;
  const {document, clashes} = mergeChanges(
    draft.origin,
    draft.document,
    theirs,
  );
  const rebased: Draft = {base: version, origin: theirs, document};
  const clashRows = clashes.map(
    ({path, mine, theirs: other}) =>
      html`<tr>
        <td><code>${path}</code></td>
        <td class="after">${cell(mine)}</td>
        <td class="before">${cell(other)}</td>
      </tr>`,
  );
  const clashTable =
    clashes.length > 0 &&
    html`<h2>Changed by both</h2>
      <p>Your values are kept below; check them before you publish.</p>
      <div class="scroll">
        <table>
          <thead>
            <tr>
              <th scope="col">Value</th>
              <th scope="col">Yours</th>
              <th scope="col">In force</th>
            </tr>
          </thead>
          <tbody>
            ${clashRows}
          </tbody>
        </table>
      </div>`;
  const body = html`<p class="notice bad" role="alert">
      Another change was published first, as version ${version}. Yours was not
      published, and nothing of it is lost.
    </p>
    ${clashTable}
    <h2>Your changes since version ${draft.base}</h2>
    ${changeTable(changesBetween(draft.origin, draft.document))}
    <h2>Their changes since version ${draft.base}</h2>
    ${changeTable(changesBetween(draft.origin, theirs))}
    <h2>Go on</h2>
    ${draftForm(session, rebased, '/console/edit/classes', html`${actionButton('review', `Put my changes on top of version ${version}`, '')} ${actionButton('edit:classes', 'Edit further', 'quiet')}`)}`;
  return layout('Conflict', '', session, body);
}

function backForm(session: Session, draft: Draft, section: string): Markup {
  const button = actionButton('check', 'Back to editing', 'quiet');
  return draftForm(session, draft, `/console/edit/${section}`, button);
}

function draftForm(
  session: Session,
  draft: Draft,
  action: string,
  buttons: Content,
): Markup {
  return html`<form method="post" action="${action}">
    ${formTokenField(session)}
    <input type="hidden" name="draft" value="${encodeDraft(draft)}" />
    <p class="actions">${buttons}</p>
  </form>`;
}

function changeTable(changes: readonly Change[]): Markup {
  if (changes.length === 0) return html`<p>None.</p>`;
  const rows = changes.map(
    ({path, before, after}) =>
      html`<tr>
        <td><code>${path}</code></td>
        <td class="before">${cell(before)}</td>
        <td class="after">${cell(after)}</td>
      </tr>`,
  );
  return html`<div class="scroll">
    <table>
      <thead>
        <tr>
          <th scope="col">Value</th>
          <th scope="col">Before</th>
          <th scope="col">After</th>
        </tr>
      </thead>
      <tbody>
        ${rows}
      </tbody>
    </table>
  </div>`;
}

function cell(value: Json | undefined): Content {
  return value === undefined
    ? html`<span class="muted">none</span>`
    : html`<code>${textOf(value)}</code>`;
}
