import type {ParsedRequest} from '../request/work.js';
import {nextTimeOfDay} from '../telemetry/targets.js';
import type {Timer} from '../timer/index.js';

/**
 * Share of a latency target that is kept as a margin. Expected durations are
 * means, so without a margin many requests would start too late and miss.
 */
const TARGET_MARGIN_SHARE = 0.2;

/** Expected durations of a request, from its start on an upstream. */
export interface ExpectedDuration {
  /** Time to the first token, in ms. */
  firstTokenMs: number;
  /** Time to the end of the response, in ms. */
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
  let latestStart = work.deadlineAt - expected.completionMs;
  if (firstTokenMs !== undefined) {
    const usableMs = firstTokenMs * (1 - TARGET_MARGIN_SHARE);
    const latestForFirstToken =
      work.arrivedAt + usableMs - expected.firstTokenMs;
    latestStart = Math.min(latestStart, latestForFirstToken);
  }
  if (completionMs !== undefined) {
    const usableMs = completionMs * (1 - TARGET_MARGIN_SHARE);
    const latestForCompletion =
      work.arrivedAt + usableMs - expected.completionMs;
    latestStart = Math.min(latestStart, latestForCompletion);
  }
  if (doneBy !== undefined) {
    const wallOffsetMs = timer.wallNow() - timer.now();
    const dueAtWall = nextTimeOfDay(doneBy, work.arrivedAt + wallOffsetMs);
    latestStart = Math.min(
      latestStart,
      dueAtWall - wallOffsetMs - expected.completionMs,
    );
  }
  return latestStart;
}
