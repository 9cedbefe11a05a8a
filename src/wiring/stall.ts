import type {Logger} from 'pino';
import {LogEvent} from '../telemetry/index.js';
import type {Subscription, Timer} from '../timer/index.js';

/** How often the clocks are looked at, in ms. */
const LOOK_MS = 250;
/** Time by which a look is late when the process stood still, in ms. */
const STALL_MS = 1_000;

/** What is called at each look, and after the process stood still. */
export interface StallListener {
  checked(): void;
  resumed(): void;
}

/**
 * Notices that the process stood still. A suspended machine may stop the steady
 * clock too, so the time of day is compared as well.
 */
export function watchStalls(
  timer: Timer,
  logger: Logger,
  listener: StallListener,
): Subscription {
  let last = timer.now();
  let lastWall = timer.wallNow();
  return timer.every(LOOK_MS, () => {
    const now = timer.now();
    const wall = timer.wallNow();
    const stoodMs = Math.max(now - last, wall - lastWall) - LOOK_MS;
    if (stoodMs > STALL_MS) {
      logger.warn(
        {event: LogEvent.Stall, stoodMs: Math.round(stoodMs)},
        'The process stood still; reading the store again.',
      );
      listener.resumed();
    }
    last = now;
    lastWall = wall;
    listener.checked();
  });
}
