import type {Dispatcher} from 'undici';
import {BodyTooLong, readBounded} from '../upstream/index.js';
import {isFramed, isJsonType, isWholeJson} from './framing.js';
import type {Failure} from './outcome.js';

/** Response header `true` if the upstream didn't and won't run the request. */
export const NOT_RUN_HEADER = 'x-not-run';

/** Cause of a failure by an answer that may be only a part. */
export const NO_END = 'no end of answer';

/** Longest body of a failure that is passed on, in bytes. */
const ERROR_LIMIT_BYTES = 256 * 1024;

/** The result of one attempt. */
export type AttemptResult =
  /** The answer was delivered to its end. */
  | {type: 'whole'}
  /** The upstream stated that it didn't and won't run the request. */
  | {type: 'refused'; failure: Failure}
  /** The upstream answered with a final client error, such as 400. */
  | {type: 'rejected'; failure: Failure}
  /** No byte of the request was sent. */
  | {type: 'unsent'; failure: Failure}
  /**
   * The attempt failed after the request may have been sent and run.
   * `delivered` is true if part of the answer was passed to the caller.
   */
  | {type: 'broken'; failure: Failure; delivered: boolean};

/** Whether `undici` failed to connect, so that no byte was sent. */
export function isUnsent(cause: unknown): boolean {
  if (!(cause instanceof Error) || !('code' in cause)) return false;
  if ('syscall' in cause && cause.syscall === 'connect') return true;
  return cause.code === 'UND_ERR_CONNECT_TIMEOUT';
}

/**
 * Classifies a response with a status of 400 or more. Only [[NOT_RUN_HEADER]]
 * proves that the request did not run. Without it, client errors other than 408
 * are passed to the caller; after 408, a server error, a body that is too long or
 * a part of a JSON body the request may have run. Text that nothing frames is
 * passed on as it came: the status tells the outcome.
 */
export async function classifyErrorResponse(
  {statusCode: status, headers, body}: Dispatcher.ResponseData,
  method: string,
): Promise<AttemptResult> {
  const content = await readBounded(body, ERROR_LIMIT_BYTES).catch(
    (cause: unknown) => {
      if (cause instanceof BodyTooLong) return undefined;
      throw cause;
    },
  );
  if (headers[NOT_RUN_HEADER] === 'true') {
    return {type: 'refused', failure: {type: 'upstreamRefused', status}};
  }
  const failure: Failure = {type: 'upstreamFailed', status};
  if (status >= 500 || status === 408 || content === undefined) {
    return {type: 'broken', failure, delivered: false};
  }
  const contentType = String(headers['content-type'] ?? 'text/plain');
  const framed = isFramed(method, status, headers);
  if (!framed && isJsonType(contentType) && !isWholeJson(content)) {
    const lost: Failure = {type: 'upstreamLost', cause: NO_END};
    return {type: 'broken', failure: lost, delivered: false};
  }
  const text = content.toString('utf8');
  return {
    type: 'rejected',
    failure: {type: 'upstreamRejected', status, contentType, body: text},
  };
}
