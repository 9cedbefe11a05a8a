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

/** Delays the response to a wrong secret, to slow down guessing. */
const FAILED_SIGN_IN_DELAY_MS = 300;

/** Dependencies of the console's HTML routes. */
export interface ConsoleDependencies {
  authenticator: Authenticator;
  reporter: Reporter;
  follower: ConfigurationFollower;
  publisher: Publisher;
  timer: Timer;
}

type Routes = findMyWay.Instance<findMyWay.HTTPVersion.V1>;
type Handler = findMyWay.Handler<findMyWay.HTTPVersion.V1>;

/** A request for a page by a signed-in operator. */
interface PageRequest {
  session: Session;
  params: Record<string, string | undefined>;
  query: URLSearchParams;
}

/** A form that a signed-in operator submitted from a console page. */
interface FormSubmission extends PageRequest {
  form: URLSearchParams;
}

/** A page and the HTTP status of its response. */
interface PageResponse {
  status: number;
  page: Markup;
}

/** Adds the routes of the pages that operators open in a browser. */
export function addConsoleRoutes(
  routes: Routes,
  dependencies: ConsoleDependencies,
): void {
  const {reporter, follower} = dependencies;
  const addPage = (
    path: string,
    respond: (pageRequest: PageRequest) => Promise<PageResponse> | PageResponse,
  ) => routes.on('GET', path, pageHandler(dependencies, respond));
  const addForm = (
    path: string,
    respond: (
      submission: FormSubmission,
    ) => Promise<PageResponse> | PageResponse,
  ) => routes.on('POST', path, formHandler(dependencies, respond));

  routes.on('GET', '/', (_message, response) => redirect(response, '/console'));
  routes.on('GET', '/console/style.css', (_message, response) =>
    sendText(response, 200, 'text/css; charset=utf-8', STYLESHEET),
  );
  routes.on('GET', '/console/sign-in', (_message, response) =>
    sendPage(response, 200, signInPage()),
  );
  routes.on('POST', '/console/sign-in', (message, response) =>
    signIn(message, response, dependencies),
  );
  routes.on('POST', '/console/sign-out', signOutHandler(dependencies));
  addPage('/console', ({session}) =>
    okResponse(overviewPage(session, follower.current())),
  );
  addPage('/console/burn', async ({session}) =>
    okResponse(burnPage(session, await reporter.burn())),
  );
  addPage('/console/fleet', async ({session}) =>
    okResponse(fleetPage(session, await reporter.fleet())),
  );
  addPage('/console/explain', async ({session, query}) => {
    const request = query.get('request') ?? '';
    const explanation =
      request === '' ? undefined : await reporter.explain(request);
    return okResponse(explainPage(session, request, explanation));
  });
  addPage('/console/edit/:section', pageRequest =>
    showEditor(pageRequest, dependencies),
  );
  addForm('/console/edit/:section', submission =>
    advanceEditor(submission, dependencies),
  );
  addForm('/console/publish', submission => publish(submission, dependencies));
}

function okResponse(page: Markup): PageResponse {
  return {status: 200, page};
}

/** Serves a page to a signed-in operator; redirects others to sign in. */
function pageHandler(
  {authenticator, timer}: ConsoleDependencies,
  respond: (pageRequest: PageRequest) => Promise<PageResponse> | PageResponse,
): Handler {
  return async (message, response, params) => {
    const session = authenticator.readSession(message, timer.wallNow());
    if (session === undefined) {
      redirect(response, '/console/sign-in');
      return;
    }
    const query = new URL(message.url ?? '', 'http://console').searchParams;
    const {status, page} = await respond({session, params, query});
    sendPage(response, status, page);
  };
}

/**
 * Handles a form of a signed-in operator. Rejects it with status 403 without a
 * valid session and form token, and with 413 if its body can't be read.
 */
function formHandler(
  {authenticator, timer}: ConsoleDependencies,
  respond: (submission: FormSubmission) => Promise<PageResponse> | PageResponse,
): Handler {
  return async (message, response, params) => {
    const session = authenticator.readSession(message, timer.wallNow());
    if (session === undefined) {
      message.resume();
      sendPage(response, 403, signInPage('Your session has expired.'));
      return;
    }
    const body = await readBody(message);
    if (body.isErr()) {
      const page = errorPage(session, 'The form could not be read.');
      sendPage(response, 413, page);
      return;
    }
    const form = new URLSearchParams(body.value);
    if (
      !authenticator.verifyFormToken(session, form.get(FORM_TOKEN_FIELD) ?? '')
    ) {
      const page = errorPage(session, 'The form token is not valid.');
      sendPage(response, 403, page);
      return;
    }
    const query = new URLSearchParams();
    const result = await respond({session, params, query, form});
    sendPage(response, result.status, result.page);
  };
}

async function signIn(
  message: IncomingMessage,
  response: ServerResponse,
  {authenticator, timer}: ConsoleDependencies,
): Promise<void> {
  const body = await readBody(message);
  const form = new URLSearchParams(body.unwrapOr(''));
  if (!authenticator.verifySecret(form.get('secret') ?? '')) {
    await timer.sleep(FAILED_SIGN_IN_DELAY_MS);
    sendPage(response, 403, signInPage('The secret is wrong.'));
    return;
  }
  const cookie = authenticator.startSession(timer.wallNow(), isSecure(message));
  redirect(response, '/console', cookie);
}

function signOutHandler({authenticator, timer}: ConsoleDependencies): Handler {
  return async (message, response) => {
    const session = authenticator.readSession(message, timer.wallNow());
    const body = await readBody(message);
    const form = new URLSearchParams(body.unwrapOr(''));
    const token = form.get(FORM_TOKEN_FIELD) ?? '';
    const isVerified =
      session !== undefined && authenticator.verifyFormToken(session, token);
    const cookie = isVerified
      ? authenticator.endSession(isSecure(message))
      : undefined;
    redirect(response, '/console/sign-in', cookie);
  };
}

function isSecure(message: IncomingMessage): boolean {
  return message.headers['x-forwarded-proto'] === 'https';
}

function showEditor(
  {session, params}: PageRequest,
  {follower}: ConsoleDependencies,
): PageResponse {
  const section = findSection(params['section'] ?? '');
  const current = follower.current();
  if (section === undefined) return notFoundResponse(session);
  if (current === undefined) {
    const page = errorPage(session, 'No configuration is in force yet.');
    return {status: 503, page};
  }
  const draft = startDraft(current);
  return okResponse(editorPage({session, section, draft, from: 0, current}));
}

function advanceEditor(
  {session, params, form}: FormSubmission,
  {follower}: ConsoleDependencies,
): PageResponse {
  const section = findSection(params['section'] ?? '');
  if (section === undefined) return notFoundResponse(session);
  const draft = draftFromForm(form);
  if (draft === undefined) return invalidDraftResponse(session);
  return okResponse(
    applyEditorStep(section, draft, form, session, follower.current()),
  );
}

async function publish(
  {session, form}: FormSubmission,
  {publisher, follower}: ConsoleDependencies,
): Promise<PageResponse> {
  const draft = draftFromForm(form);
  if (draft === undefined) return invalidDraftResponse(session);
  const publication = await publisher.publish(draft.document, draft.base);
  const current = follower.current();
  const page = publicationPage(session, draft, publication, current);
  return {status: publication.type === 'accepted' ? 200 : 409, page};
}

function draftFromForm(form: URLSearchParams): Draft | undefined {
  const draft = decodeDraft(form.get(DRAFT_FIELD) ?? '');
  return draft.isOk() ? draft.value : undefined;
}

function notFoundResponse(session: Session): PageResponse {
  return {status: 404, page: errorPage(session, 'There is no such page.')};
}

function invalidDraftResponse(session: Session): PageResponse {
  const page = errorPage(session, 'The draft in the form could not be read.');
  return {status: 400, page};
}

function errorPage(session: Session, text: string): Markup {
  const body = html`<p class="notice bad" role="alert">${text}</p>`;
  return layout('Request failed', '', session, body);
}
