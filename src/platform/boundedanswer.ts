import type {IncomingHttpHeaders} from 'node:http';
import type {Dispatcher} from 'undici';
import {ByteCollector} from '../forward/bytes.js';

/** Bytes that a chunk counts at least, since each takes processor time. */
const MIN_CHUNK_BYTES = 64;

/** An answer whose body is longer than allowed; the rest of it wasn't read. */
export class LongAnswer extends Error {
  override name = 'LongAnswer';

  constructor(readonly limitBytes: number) {
    super(`an answer of more than ${limitBytes} bytes`);
  }
}

/** An answer that came in whole. */
export interface WholeAnswer {
  status: number;
  headers: IncomingHttpHeaders;
  body: Buffer;
}

/** Bounds of an answer. */
export interface AnswerBounds {
  /** Longest body, in bytes. */
  limitBytes: number;
  /** Ends the request. */
  signal: AbortSignal;
}

/**
 * Sends a request and reads its answer. Rejects with [[LongAnswer]] beyond the
 * limit, which closes the connection.
 */
export function requestBounded(
  dispatcher: Dispatcher,
  options: Dispatcher.DispatchOptions,
  {limitBytes, signal}: AnswerBounds,
): Promise<WholeAnswer> {
  return new Promise((resolve, reject) => {
    const body = new ByteCollector();
    let countedBytes = 0;
    let status = 0;
    let headers: IncomingHttpHeaders = {};
    let controller: Dispatcher.DispatchController | undefined;
    const fail = (error: Error) => {
      signal.removeEventListener('abort', onAbort);
      reject(error);
    };
    const onAbort = () => {
      const reason = signal.reason as Error;
      controller?.abort(reason);
      fail(reason);
    };
    signal.addEventListener('abort', onAbort, {once: true});
    dispatcher.dispatch(options, {
      onRequestStart: started => {
        controller = started;
        // It may have waited for a connection until then.
        if (signal.aborted) onAbort();
      },
      onResponseStart: (_controller, received, receivedHeaders) => {
        status = received;
        headers = receivedHeaders;
      },
      onResponseData: (reading, chunk) => {
        countedBytes += Math.max(MIN_CHUNK_BYTES, chunk.length);
        if (countedBytes > limitBytes) {
          reading.abort(new LongAnswer(limitBytes));
          return;
        }
        body.push(chunk);
      },
      onResponseEnd: () => {
        signal.removeEventListener('abort', onAbort);
        resolve({status, headers, body: body.take()});
      },
      onResponseError: (_controller, error) => fail(error),
    });
  });
}
