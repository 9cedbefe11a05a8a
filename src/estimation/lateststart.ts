import type {ParsedRequest} from '../request/work.js';
import {nextTimeOfDay} from '../telemetry/targets.js';
import type {Timer} from '../timer/index.js';

/**
 * Share of a latency target kept as a margin, since the expected durations are
 * means. Without it, requests are started when they are just about to miss.
 */
const MARGIN_SHARE = 0.2;

/** Expected durations of a request, counted from its start on an upstream. */
export interface ExpectedDuration {
  /** Time to the first token, in ms. */
  firstTokenMs: number;
  /** Time to the end of the answer, in ms. */
  completionMs: number;
}

/**
 * Returns the latest monotonic time at which a request may start and still be
 * expected to meet every target of its class and its deadline.
 */
export function latestStartAt(
  work: ParsedRequest,
  expected: ExpectedDuration,
  timer: Timer,
): number {
  const {firstTokenMs, completionMs, doneBy} = work.serviceClass.targets;
  let latest = work.deadlineAt - expected.completionMs;
  if (firstTokenMs !== undefined) {
    const usableMs = firstTokenMs * (1 - MARGIN_SHARE);
    const limit = work.arrivedAt + usableMs - expected.firstTokenMs;
    latest = Math.min(latest, limit);
  }
  if (completionMs !== undefined) {
    const usableMs = completionMs * (1 - MARGIN_SHARE);
    const limit = work.arrivedAt + usableMs - expected.completionMs;
    latest = Math.min(latest, limit);
  }
  if (doneBy !== undefined) {
    const wallOffset = timer.wallNow() - timer.now();
    const done = nextTimeOfDay(doneBy, work.arrivedAt + wallOffset);
    latest = Math.min(latest, done - wallOffset - expected.completionMs);
  }
  return latest;
}
