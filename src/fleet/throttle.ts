import type {Subscription, Timer} from '../timer/index.js';

/**
 * Limits how often an action runs that may also run for other reasons: at once
 * if it has not run for an interval, and otherwise at the end of the interval,
 * for all requests until then.
 */
export class Throttle {
  private pending?: Subscription;

  constructor(
    private readonly timer: Timer,
    private readonly run: () => void,
    /** When the action last ran, in monotonic ms. */
    private readonly lastRunAt: () => number,
  ) {}

  /** Requests a run; at least `intervalMs` ms lie between two. */
  request(intervalMs: number): void {
    const requestedAt = this.timer.now();
    const delayMs = this.lastRunAt() + intervalMs - requestedAt;
    if (delayMs <= 0) {
      this.run();
      return;
    }
    this.pending ??= this.timer.after(delayMs, () => {
      this.pending = undefined;
      if (this.lastRunAt() <= requestedAt) this.run();
    });
  }

  /** Drops the request that waits for its interval, if there is one. */
  cancel(): void {
    this.pending?.end();
    this.pending = undefined;
  }
}
