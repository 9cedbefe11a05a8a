import type {Logger} from 'pino';
import {LogEvent} from '../telemetry/index.js';
import type {Subscription, Timer} from '../timer/index.js';

/** How often the clocks are checked, in ms. */
const CHECK_PERIOD_MS = 250;
/** Delay of a check beyond which it counts as a stall, in ms. */
const STALL_THRESHOLD_MS = 1_000;

/** Receives the events of [[watchStalls]]. */
export interface StallListener {
  /**
   * Called at each check, after [[resumed]] if there was a stall. `delayMs`: how
   * late the check is by the monotonic clock.
   */
  checked(delayMs: number): void;
  /** Called when the process runs again after a stall. */
  resumed(): void;
}

/**
 * Detects that the process was blocked or suspended, by checks that run late.
 * The monotonic clock may stop while the machine is suspended, so the wall
 * clock is compared as well. Ends with the returned subscription.
 */
export function watchStalls(
  timer: Timer,
  logger: Logger,
  listener: StallListener,
): Subscription {
  let previous = timer.now();
  let previousWall = timer.wallNow();
  return timer.every(CHECK_PERIOD_MS, () => {
    const now = timer.now();
    const wall = timer.wallNow();
    const stallMs =
      Math.max(now - previous, wall - previousWall) - CHECK_PERIOD_MS;
    if (stallMs > STALL_THRESHOLD_MS) {
      logger.warn(
        {event: LogEvent.Stall, stoodMs: Math.round(stallMs)},
        'The process was blocked or suspended; reading the store again.',
      );
      listener.resumed();
    }
    const delayMs = Math.max(0, now - previous - CHECK_PERIOD_MS);
    previous = now;
    previousWall = wall;
    listener.checked(delayMs);
  });
}
