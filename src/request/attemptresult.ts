import type {Dispatcher} from 'undici';
import type {Failure} from './outcome.js';

/** Header by which an upstream proves that it ran and will run nothing. */
export const NOT_RUN_HEADER = 'x-not-run';

/** The result of one attempt. */
export type AttemptResult =
  | {type: 'whole'}
  /** The upstream proved that it did not and will not run the request. */
  | {type: 'refused'; failure: Failure}
  /** The upstream answered with an error that leaves no doubt. */
  | {type: 'rejected'; failure: Failure}
  /** No byte of the request left this instance. */
  | {type: 'unsent'; failure: Failure}
  /** The attempt broke; `delivered` tells if the caller has seen any of it. */
  | {type: 'broken'; failure: Failure; delivered: boolean};

/** Whether an error of `undici` arose before the request was written. */
export function isUnsent(cause: unknown): boolean {
  if (!(cause instanceof Error) || !('code' in cause)) return false;
  if ('syscall' in cause && cause.syscall === 'connect') return true;
  return cause.code === 'UND_ERR_CONNECT_TIMEOUT';
}

/**
 * Judges an error answer. Only the documented header proves that nothing ran;
 * another client error is the upstream's answer, and a server error proves
 * nothing.
 */
export async function classifyErrorResponse({
  statusCode: status,
  headers,
  body,
}: Dispatcher.ResponseData): Promise<AttemptResult> {
  const text = await body.text();
  if (headers[NOT_RUN_HEADER] === 'true') {
    return {type: 'refused', failure: {type: 'upstreamRefused', status}};
  }
  const failure: Failure = {type: 'upstreamFailed', status};
  if (status >= 500 || status === 408) {
    return {type: 'broken', failure, delivered: false};
  }
  const contentType = String(headers['content-type'] ?? 'text/plain');
  return {
    type: 'rejected',
    failure: {type: 'upstreamRejected', status, contentType, body: text},
  };
}
