import type {IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';

/** Why the body of a request can't be used. */
export type BodyFailure =
  {type: 'bodyTooLarge'; limitBytes: number} | {type: 'incomplete'};

const EMPTY = Buffer.alloc(0);

/** Reads the whole body of a request. */
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
