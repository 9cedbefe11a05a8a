import type {QueueEntry} from './queueentry.js';

/**
 * Longest back-off of a large prompt before it uses new capacity, in ms for
 * each other instance. About the time that gossip takes between regions.
 */
const MAX_BACKOFF_PER_INSTANCE_MS = 12;
/** Longest back-off, in ms; a small part of the targets of large prompts. */
const MAX_BACKOFF_MS = 150;

/**
 * Whether a waiting large prompt backs off before it uses new capacity. All
 * instances see the capacity at the same time; a random back-off lets the first
 * of them announce its load before the others place on the same engine.
 * `others`: number of other instances; `random` returns a number in [0, 1).
 */
export function backsOff(
  entry: QueueEntry,
  now: number,
  others: number,
  random: () => number,
): boolean {
  const pauseMs = Math.min(
    MAX_BACKOFF_MS,
    others * MAX_BACKOFF_PER_INSTANCE_MS,
  );
  entry.backoffUntil ??= now + random() * pauseMs;
  return now < entry.backoffUntil;
}
