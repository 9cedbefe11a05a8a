import {poolServes} from '../upstream/index.js';
import {tierOf, type QueueEntry} from './queueentry.js';
import type {RunningAttempt} from './runningattempt.js';

/** Minimum number of tiers between a preempted request and the urgent one. */
const MIN_TIER_GAP = 2;
/** Share of its expected duration up to which an attempt is preemptible. */
const MAX_ELAPSED_SHARE = 0.25;
/** Time to the latest start below which a request may preempt another. */
const MAX_SLACK_FOR_PREEMPTION_MS = 200;

/** Whether a request without a slot is urgent enough to preempt another. */
export function mayPreempt(entry: QueueEntry, now: number): boolean {
  const slackMs = entry.latestStartAt - now;
  return !entry.late && slackMs < MAX_SLACK_FOR_PREEMPTION_MS;
}

/**
 * Returns the attempt that loses the least work if it is preempted for `entry`:
 * the one that started last, of those that are on an upstream that offers the
 * demand of `entry`, at least `MIN_TIER_GAP` tiers lower, repeatable, on their
 * first try, without a first token, and within `MAX_ELAPSED_SHARE` of their
 * expected duration. The preempted request goes back to the queue; it is not
 * shed.
 */
export function cheapestPreemptible(
  entry: QueueEntry,
  candidates: Iterable<RunningAttempt>,
  now: number,
): RunningAttempt | undefined {
  let cheapest: RunningAttempt | undefined;
  let lowestCostMs = Infinity;
  for (const attempt of candidates) {
    if (!isPreemptible(entry, attempt, now)) continue;
    const costMs = now - attempt.startedAt;
    if (costMs >= lowestCostMs) continue;
    cheapest = attempt;
    lowestCostMs = costMs;
  }
  return cheapest;
}

function isPreemptible(
  entry: QueueEntry,
  attempt: RunningAttempt,
  now: number,
): boolean {
  const {work} = attempt.entry;
  if (attempt.preempted) return false;
  if (!poolServes(attempt.upstream, entry.work.demand)) return false;
  if (tierOf(attempt.entry) < tierOf(entry) + MIN_TIER_GAP) return false;
  if (!work.repeatable || attempt.hasFirstToken) return false;
  if (attempt.entry.history.tried.size > 0) return false;
  const elapsedMs = now - attempt.startedAt;
  return elapsedMs < attempt.selection.completionMs * MAX_ELAPSED_SHARE;
}
