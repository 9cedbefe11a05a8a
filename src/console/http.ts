import type {IncomingMessage, ServerResponse} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import type {Markup} from '../markup/index.js';
import {BodyTooLong, readBounded} from '../upstream/boundedbody.js';

const MAX_BODY_BYTES = 16 * 1024 * 1024;

/**
 * Headers of every response. They forbid caching, framing, content sniffing
 * and loading anything but the console's own style sheet.
 */
const SECURITY_HEADERS = {
  'cache-control': 'no-store',
  'content-security-policy':
    "default-src 'none'; style-src 'self'; form-action 'self'; " +
    "base-uri 'none'; frame-ancestors 'none'",
  'referrer-policy': 'no-referrer',
  'x-content-type-options': 'nosniff',
  'x-frame-options': 'DENY',
};

/** Why a request body could not be read. */
export type BodyReadFailure =
  {type: 'bodyTooLarge'; limitBytes: number} | {type: 'bodyBroken'};

/** Reads a request body of at most `MAX_BODY_BYTES` as UTF-8 text. */
export async function readBody(
  message: IncomingMessage,
): Promise<Result<string, BodyReadFailure>> {
  try {
    const body = await readBounded(message, MAX_BODY_BYTES);
    return ok(body.toString('utf8'));
  } catch (cause) {
    return cause instanceof BodyTooLong
      ? err({type: 'bodyTooLarge', limitBytes: MAX_BODY_BYTES})
      : err({type: 'bodyBroken'});
  }
}

/** Sends text of any content type. */
export function sendText(
  response: ServerResponse,
  status: number,
  contentType: string,
  text: string,
): void {
  response.writeHead(status, {
    ...SECURITY_HEADERS,
    'content-type': contentType,
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** Sends a value as JSON. */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  sendText(response, status, 'application/json', JSON.stringify(value));
}

/** Sends an HTML page. */
export function sendPage(
  response: ServerResponse,
  status: number,
  page: Markup,
): void {
  sendText(response, status, 'text/html; charset=utf-8', page.text);
}

/** Redirects the browser with status 303, with a `Set-Cookie` if given. */
export function redirect(
  response: ServerResponse,
  location: string,
  setCookie?: string,
): void {
  response.writeHead(303, {
    ...SECURITY_HEADERS,
    location,
    ...(setCookie === undefined ? {} : {'set-cookie': setCookie}),
  });
  response.end();
}
