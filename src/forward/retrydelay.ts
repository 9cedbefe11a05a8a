/** Longest Retry-After for an expected wait, in ms; a surge may be over by then. */
const MAX_WAIT_DELAY_MS = 2_000;
/** Shortest Retry-After, in ms; about the time to open a connection. */
const MIN_RETRY_DELAY_MS = 50;
/** Share of a pause over which callers return after it. */
const PAUSE_SPREAD_SHARE = 0.5;
/** Longest time over which callers return after a pause, in ms. */
const MAX_PAUSE_SPREAD_MS = 2_000;

/**
 * Retry-After of a refused request, in ms, with jitter so that callers don't
 * return together. `waitMs` is the expected wait, `pauseMs` the time until the
 * first upstream takes requests; `random` is in [0, 1).
 */
export function retryDelayMs(
  waitMs: number,
  pauseMs: number,
  random: number,
): number {
  const waitDelayMs = (MIN_RETRY_DELAY_MS + waitMs) * (1 + random / 2);
  const spreadMs = Math.min(MAX_PAUSE_SPREAD_MS, pauseMs * PAUSE_SPREAD_SHARE);
  return Math.max(
    Math.min(MAX_WAIT_DELAY_MS, waitDelayMs),
    pauseMs + random * spreadMs,
  );
}
