import type {IncomingMessage, ServerResponse} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import type {Markup} from '../markup/index.js';

const BODY_LIMIT_BYTES = 16 * 1024 * 1024;

/** Headers of every answer: nothing is framed, cached, sniffed or loaded. */
const SAFE_HEADERS = {
  'cache-control': 'no-store',
  'content-security-policy':
    "default-src 'none'; style-src 'self'; form-action 'self'; " +
    "base-uri 'none'; frame-ancestors 'none'",
  'referrer-policy': 'no-referrer',
  'x-content-type-options': 'nosniff',
  'x-frame-options': 'DENY',
};

/** Why the body of an operator's request could not be read. */
export type BodyFailure =
  {type: 'bodyTooLarge'; limitBytes: number} | {type: 'bodyBroken'};

/** Reads a request body within its bound. */
export async function readBody(
  message: IncomingMessage,
): Promise<Result<string, BodyFailure>> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of message as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > BODY_LIMIT_BYTES) {
        return err({type: 'bodyTooLarge', limitBytes: BODY_LIMIT_BYTES});
      }
      chunks.push(chunk);
    }
  } catch {
    return err({type: 'bodyBroken'});
  }
  return ok(Buffer.concat(chunks).toString('utf8'));
}

/** Answers with text of any content type. */
export function sendText(
  response: ServerResponse,
  status: number,
  contentType: string,
  text: string,
): void {
  response.writeHead(status, {
    ...SAFE_HEADERS,
    'content-type': contentType,
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** Answers with JSON. */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  sendText(response, status, 'application/json', JSON.stringify(value));
}

/** Answers with a page. */
export function sendPage(
  response: ServerResponse,
  status: number,
  page: Markup,
): void {
  sendText(response, status, 'text/html; charset=utf-8', page.text);
}

/** Sends the browser to another page, and sets a cookie if one is given. */
export function redirect(
  response: ServerResponse,
  location: string,
  setCookie?: string,
): void {
  response.writeHead(303, {
    ...SAFE_HEADERS,
    location,
    ...(setCookie === undefined ? {} : {'set-cookie': setCookie}),
  });
  response.end();
}
