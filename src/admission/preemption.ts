import {poolServes} from '../upstream/index.js';
import {tierOf, type QueueEntry} from './queueentry.js';
import type {RunningAttempt} from './runningattempt.js';

/** Tiers that a preempted request is at least below the one it gives way to. */
const TIER_DISTANCE = 2;
/** Share of its expected duration up to which stopping an attempt is cheap. */
const CHEAP_SHARE = 0.25;
/** Slack below which a request is worth a preemption. */
const PRESSING_MS = 200;

/** Whether a request that finds no slot is worth stopping another for. */
export function mayPreempt(entry: QueueEntry, now: number): boolean {
  const slackMs = entry.latestStartAt - now;
  return !entry.late && slackMs < PRESSING_MS;
}

/**
 * Finds the attempt that is cheapest to stop in favour of `entry`: of a tier
 * well below, repeatable, nothing of it delivered, and little of it done. Its
 * request goes back to the queue; it is not shed.
 */
export function cheapestPreemptible(
  entry: QueueEntry,
  candidates: Iterable<RunningAttempt>,
  now: number,
): RunningAttempt | undefined {
  let cheapest: RunningAttempt | undefined;
  let lowest = Infinity;
  for (const running of candidates) {
    if (!isCheap(entry, running, now)) continue;
    const cost = now - running.startedAt;
    if (cost >= lowest) continue;
    cheapest = running;
    lowest = cost;
  }
  return cheapest;
}

function isCheap(
  entry: QueueEntry,
  running: RunningAttempt,
  now: number,
): boolean {
  const {work} = running.entry;
  if (running.preempted) return false;
  if (!poolServes(running.upstream, entry.work.demand)) return false;
  if (tierOf(running.entry) < tierOf(entry) + TIER_DISTANCE) return false;
  if (!work.repeatable || running.hasFirstToken) return false;
  if (running.entry.history.tried.size > 0) return false;
  const elapsedMs = now - running.startedAt;
  return elapsedMs < running.selection.completionMs * CHEAP_SHARE;
}
