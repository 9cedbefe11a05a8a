import type {Timer} from '../timer/index.js';

/** Age up to which what is known of a topic is current, in ms. */
const MAX_AGE_MS = 1_000;
/** Longest time to wait for news, in ms; the store may be away for longer. */
const MAX_WAIT_MS = 400;
const CHECK_PERIOD_MS = 20;

/** Whether what is known of a topic is current, by its age in ms. */
export function isCurrent(ageMs: number | undefined): boolean {
  return ageMs !== undefined && ageMs <= MAX_AGE_MS;
}

/**
 * Waits for news of a topic if there was none for a while, as after a pause of
 * this process. `ageMs` returns the age of what is known.
 */
export async function untilCurrent(
  ageMs: () => number | undefined,
  timer: Timer,
): Promise<void> {
  const endsAt = timer.now() + MAX_WAIT_MS;
  while (!isCurrent(ageMs()) && timer.now() < endsAt) {
    await timer.sleep(CHECK_PERIOD_MS);
  }
}
