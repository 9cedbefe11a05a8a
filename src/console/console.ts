import type {IncomingMessage, ServerResponse} from 'node:http';
import type findMyWay from 'find-my-way';
import type {Follower} from '../config/index.js';
import type {Reporter} from '../report/index.js';
import type {Timer} from '../timer/index.js';
import {readText, redirect, sendPage, sendText} from './exchange.js';
import type {Gate, Session} from './gate.js';
import {signInPage} from './layout.js';
import type {Publisher} from './publisher.js';
import {STYLE} from './style.js';

/** Delay of the answer to a wrong secret, against guessing. */
const WRONG_SECRET_DELAY_MS = 300;

/** What the console needs of the rest of the instance. */
export interface ConsoleParts {
  gate: Gate;
  reporter: Reporter;
  follower: Follower;
  publisher: Publisher;
  timer: Timer;
}

type Routes = findMyWay.Instance<findMyWay.HTTPVersion.V1>;

/** One request of a signed-in operator. */
export interface Visit {
  response: ServerResponse;
  session: Session;
  params: Record<string, string | undefined>;
  query: URLSearchParams;
}

/** Adds the pages that operators open in a browser. */
export function addConsoleRoutes(routes: Routes, parts: ConsoleParts): void {
  routes.on('GET', '/', (_message, response) => redirect(response, '/console'));
  routes.on('GET', '/console/style.css', (_message, response) =>
    sendText(response, 200, 'text/css; charset=utf-8', STYLE),
  );
  routes.on('GET', '/console/sign-in', (_message, response) =>
    sendPage(response, 200, signInPage()),
  );
  routes.on('POST', '/console/sign-in', (message, response) =>
    signIn(message, response, parts),
  );
}

async function signIn(
  message: IncomingMessage,
  response: ServerResponse,
  {gate, timer}: ConsoleParts,
): Promise<void> {
  const body = await readText(message);
  const form = new URLSearchParams(body.unwrapOr(''));
  if (!gate.admits(form.get('secret') ?? '')) {
    await timer.sleep(WRONG_SECRET_DELAY_MS);
    sendPage(response, 403, signInPage('The secret is wrong.'));
    return;
  }
  const cookie = gate.open(timer.wallNow(), isSecure(message));
  redirect(response, '/console', cookie);
}

function isSecure(message: IncomingMessage): boolean {
  return message.headers['x-forwarded-proto'] === 'https';
}
