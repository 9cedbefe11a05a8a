import type {Endpoint} from './endpoint.js';
import type {PlacementRequest} from './placementrequest.js';
import {WaitCause} from './queueentry.js';
import {NotRunCause} from './refusal.js';

/** Share of the time left that a request may wait for the end of a pause. */
const MAX_PAUSE_WAIT_SHARE = 0.5;
/** Share of the target that a request may wait even if it is late. */
const MIN_PAUSE_WAIT_SHARE = 0.2;

const NONE: ReadonlySet<string> = new Set();

/**
 * Time until the first of the upstreams takes requests again after its pause,
 * and by its declared rate, in ms; 0 if one of them does now, or if there is
 * none. `tried`: ids of upstreams to leave out.
 */
export function shortestDelayMs(
  endpoints: readonly Endpoint[],
  now: number,
  tried = NONE,
): number {
  const remaining = endpoints
    .filter(({id}) => !tried.has(id))
    .map(({pause, limit}) =>
      Math.max(pause.remainingMs(now), limit.remainingMs(now)),
    );
  return remaining.length === 0 ? 0 : Math.min(...remaining);
}

/**
 * Whether a request waits `delayMs` ms for its turn at an upstream that gets as
 * much as it declares. It would lose its place if it came again.
 */
function waitsForLimit(
  {deadlineAt}: PlacementRequest,
  delayMs: number,
  now: number,
): boolean {
  return delayMs <= (deadlineAt - now) * MAX_PAUSE_WAIT_SHARE;
}

/**
 * Whether a request waits `pauseMs` ms for the end of a pause: it can still meet
 * its objective then, or its caller has begun to receive the response. Any other
 * caller is better told at once when to return.
 */
function waitsForPause(
  {answerStarted, deadlineAt, dueAt, targetMs}: PlacementRequest,
  pauseMs: number,
  now: number,
): boolean {
  const longestMs = (deadlineAt - now) * MAX_PAUSE_WAIT_SHARE;
  if (pauseMs > longestMs) return false;
  if (answerStarted) return true;
  return pauseMs <= Math.max(dueAt - now, targetMs * MIN_PAUSE_WAIT_SHARE);
}

/**
 * Why a request is refused rather than to wait `delayMs` ms for an upstream to
 * take requests; undefined if it waits.
 */
export function refusalCauseOf(
  request: PlacementRequest,
  cause: WaitCause,
  delayMs: number,
  now: number,
): NotRunCause | undefined {
  switch (cause) {
    case WaitCause.Paused:
      return waitsForPause(request, delayMs, now)
        ? undefined
        : NotRunCause.Paused;
    case WaitCause.Limited:
      return waitsForLimit(request, delayMs, now)
        ? undefined
        : NotRunCause.Limited;
    case WaitCause.NoUpstream:
      return request.softwareVersion === undefined
        ? undefined
        : NotRunCause.NoVersion;
    case WaitCause.Full:
    case WaitCause.Busy:
    case WaitCause.Backoff:
      return undefined;
  }
}
