import type {IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {StopCause, type Deadline} from './deadline.js';

/**
 * Why a request body can't be used: it exceeds the limit, or the connection
 * closed before its end.
 */
export type BodyFailure =
  {type: 'bodyTooLarge'; limitBytes: number} | {type: 'incomplete'};

const EMPTY = Buffer.alloc(0);

/** Reads the whole body of a request, of at most `limitBytes` bytes. */
export function readBody(
  message: IncomingMessage,
  limitBytes: number,
): Promise<Result<Buffer, BodyFailure>> {
  const {headers} = message;
  if (
    headers['transfer-encoding'] === undefined &&
    Number(headers['content-length'] ?? 0) === 0
  ) {
    return Promise.resolve(ok(EMPTY));
  }
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    message.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes <= limitBytes) chunks.push(chunk);
      else {
        chunks.length = 0;
        resolve(err({type: 'bodyTooLarge', limitBytes}));
      }
    });
    message.on('end', () => resolve(ok(Buffer.concat(chunks))));
    message.on('error', () => resolve(err({type: 'incomplete'})));
    message.on('close', () => resolve(err({type: 'incomplete'})));
  });
}

/** Reads the whole body of a request, or gives up when the request is stopped. */
export async function readBodyUntil(
  deadline: Deadline,
  message: IncomingMessage,
  limitBytes: number,
): Promise<Buffer | BodyFailure | {type: 'leaving'}> {
  const {signal} = deadline;
  const bodyRead = readBody(message, limitBytes);
  const stopped = new Promise<undefined>(resolve => {
    if (signal.aborted) resolve(undefined);
    signal.addEventListener('abort', () => resolve(undefined), {once: true});
  });
  const body = await Promise.race([bodyRead, stopped]);
  if (body === undefined) {
    const isEnding = deadline.cause === StopCause.Stopped;
    return {type: isEnding ? 'leaving' : 'incomplete'};
  }
  return body.isOk() ? body.value : body.error;
}

/** Size of raw headers, names and values, in bytes. */
export function bytesOf(headers: readonly string[]): number {
  return headers.reduce((sum, {length}) => sum + length, 0);
}
