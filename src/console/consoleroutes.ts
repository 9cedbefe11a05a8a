import type {IncomingMessage, ServerResponse} from 'node:http';
import type findMyWay from 'find-my-way';
import type {ConfigurationFollower} from '../config/index.js';
import type {Reporter} from '../report/index.js';
import type {Timer} from '../timer/index.js';
import {decodeDraft, startDraft, type Draft} from './draft.js';
import {DRAFT_FIELD, editorPage, applyEditorStep} from './editor.js';
import {readBody, redirect, sendPage, sendText} from './http.js';
import type {Authenticator, Session} from './authenticator.js';
import {html, type Markup} from '../markup/index.js';
import {FORM_TOKEN_FIELD, layout, signInPage} from './layout.js';
import {burnPage, explainPage, fleetPage, overviewPage} from './pages.js';
import type {Publisher} from './publisher.js';
import {publicationPage} from './review.js';
import {findSection} from './sections.js';
import {STYLESHEET} from './stylesheet.js';

/** Delay of the answer to a wrong secret, against guessing. */
const WRONG_SECRET_DELAY_MS = 300;

/** What the console needs of the rest of the instance. */
export interface ConsoleDependencies {
  gate: Authenticator;
  reporter: Reporter;
  follower: ConfigurationFollower;
  publisher: Publisher;
  timer: Timer;
}

type Routes = findMyWay.Instance<findMyWay.HTTPVersion.V1>;
type Handler = findMyWay.Handler<findMyWay.HTTPVersion.V1>;

/** One request of a signed-in operator. */
interface Visit {
  session: Session;
  params: Record<string, string | undefined>;
  query: URLSearchParams;
}

/** A form that a signed-in operator sent from a page of the console. */
interface Submission extends Visit {
  form: URLSearchParams;
}

/** A page and its status. */
interface Answer {
  status: number;
  page: Markup;
}

/** Adds the pages that operators open in a browser. */
export function addConsoleRoutes(
  routes: Routes,
  parts: ConsoleDependencies,
): void {
  const {reporter, follower} = parts;
  const page = (
    path: string,
    answer: (visit: Visit) => Promise<Answer> | Answer,
  ) => routes.on('GET', path, visiting(parts, answer));
  const form = (
    path: string,
    answer: (sent: Submission) => Promise<Answer> | Answer,
  ) => routes.on('POST', path, submitting(parts, answer));

  routes.on('GET', '/', (_message, response) => redirect(response, '/console'));
  routes.on('GET', '/console/style.css', (_message, response) =>
    sendText(response, 200, 'text/css; charset=utf-8', STYLESHEET),
  );
  routes.on('GET', '/console/sign-in', (_message, response) =>
    sendPage(response, 200, signInPage()),
  );
  routes.on('POST', '/console/sign-in', (message, response) =>
    signIn(message, response, parts),
  );
  routes.on('POST', '/console/sign-out', signingOut(parts));
  page('/console', ({session}) =>
    done(overviewPage(session, follower.current())),
  );
  page('/console/burn', async ({session}) =>
    done(burnPage(session, await reporter.burn())),
  );
  page('/console/fleet', async ({session}) =>
    done(fleetPage(session, await reporter.fleet())),
  );
  page('/console/explain', async ({session, query}) => {
    const request = query.get('request') ?? '';
    const found = request === '' ? undefined : await reporter.explain(request);
    return done(explainPage(session, request, found));
  });
  page('/console/edit/:section', visit => openEditor(visit, parts));
  form('/console/edit/:section', sent => stepEditor(sent, parts));
  form('/console/publish', sent => publish(sent, parts));
}

function done(page: Markup): Answer {
  return {status: 200, page};
}

/** Serves a page to a signed-in operator; others are sent to sign in. */
function visiting(
  {gate, timer}: ConsoleDependencies,
  answer: (visit: Visit) => Promise<Answer> | Answer,
): Handler {
  return async (message, response, params) => {
    const session = gate.readSession(message, timer.wallNow());
    if (session === undefined) {
      redirect(response, '/console/sign-in');
      return;
    }
    const query = new URL(message.url ?? '', 'http://console').searchParams;
    const {status, page} = await answer({session, params, query});
    sendPage(response, status, page);
  };
}

/** Takes a form of a signed-in operator that carries the session's token. */
function submitting(
  {gate, timer}: ConsoleDependencies,
  answer: (sent: Submission) => Promise<Answer> | Answer,
): Handler {
  return async (message, response, params) => {
    const session = gate.readSession(message, timer.wallNow());
    if (session === undefined) {
      message.resume();
      sendPage(response, 403, signInPage('Your session has ended.'));
      return;
    }
    const body = await readBody(message);
    if (body.isErr()) {
      const page = notice(session, 'The form could not be read.');
      sendPage(response, 413, page);
      return;
    }
    const form = new URLSearchParams(body.value);
    if (!gate.verifyFormToken(session, form.get(FORM_TOKEN_FIELD) ?? '')) {
      const page = notice(session, 'The form did not come from this console.');
      sendPage(response, 403, page);
      return;
    }
    const query = new URLSearchParams();
    const result = await answer({session, params, query, form});
    sendPage(response, result.status, result.page);
  };
}

async function signIn(
  message: IncomingMessage,
  response: ServerResponse,
  {gate, timer}: ConsoleDependencies,
): Promise<void> {
  const body = await readBody(message);
  const form = new URLSearchParams(body.unwrapOr(''));
  if (!gate.verifySecret(form.get('secret') ?? '')) {
    await timer.sleep(WRONG_SECRET_DELAY_MS);
    sendPage(response, 403, signInPage('The secret is wrong.'));
    return;
  }
  const cookie = gate.startSession(timer.wallNow(), isSecure(message));
  redirect(response, '/console', cookie);
}

function signingOut({gate, timer}: ConsoleDependencies): Handler {
  return async (message, response) => {
    const session = gate.readSession(message, timer.wallNow());
    const body = await readBody(message);
    const form = new URLSearchParams(body.unwrapOr(''));
    const token = form.get(FORM_TOKEN_FIELD) ?? '';
    const genuine =
      session !== undefined && gate.verifyFormToken(session, token);
    const cookie = genuine ? gate.endSession(isSecure(message)) : undefined;
    redirect(response, '/console/sign-in', cookie);
  };
}

function isSecure(message: IncomingMessage): boolean {
  return message.headers['x-forwarded-proto'] === 'https';
}

function openEditor(
  {session, params}: Visit,
  {follower}: ConsoleDependencies,
): Answer {
  const section = findSection(params['section'] ?? '');
  const current = follower.current();
  if (section === undefined) return unknownPage(session);
  if (current === undefined) {
    const page = notice(session, 'No configuration is in force yet.');
    return {status: 503, page};
  }
  const draft = startDraft(current);
  return done(editorPage({session, section, draft, from: 0, current}));
}

function stepEditor(
  {session, params, form}: Submission,
  {follower}: ConsoleDependencies,
): Answer {
  const section = findSection(params['section'] ?? '');
  if (section === undefined) return unknownPage(session);
  const draft = draftOf(form);
  if (draft === undefined) return brokenPage(session);
  return done(
    applyEditorStep(section, draft, form, session, follower.current()),
  );
}

async function publish(
  {session, form}: Submission,
  {publisher, follower}: ConsoleDependencies,
): Promise<Answer> {
  const draft = draftOf(form);
  if (draft === undefined) return brokenPage(session);
  const publication = await publisher.publish(draft.document, draft.base);
  const current = follower.current();
  const page = publicationPage(session, draft, publication, current);
  return {status: publication.type === 'accepted' ? 200 : 409, page};
}

function draftOf(form: URLSearchParams): Draft | undefined {
  const draft = decodeDraft(form.get(DRAFT_FIELD) ?? '');
  return draft.isOk() ? draft.value : undefined;
}

function unknownPage(session: Session): Answer {
  return {status: 404, page: notice(session, 'There is no such page.')};
}

function brokenPage(session: Session): Answer {
  const page = notice(session, 'The form carries no readable draft.');
  return {status: 400, page};
}

function notice(session: Session, text: string): Markup {
  const body = html`<p class="notice bad" role="alert">${text}</p>`;
  return layout('Not done', '', session, body);
}
