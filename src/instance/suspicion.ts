import type {Subscription, Timer} from '../timer/index.js';

/** Suspicion time-out of a small fleet, in ms. */
const SUSPICION_BASE_MS = 4_000;
/** An expiry this late means that this process did not run, in ms. */
const LATE_MS = 500;

/** How long a member is suspected before it counts as dead, in ms. */
export function suspicionTimeoutMs(size: number): number {
  return SUSPICION_BASE_MS * Math.max(1, Math.log10(size));
}

/** Time-outs of the members under suspicion. */
export class SuspicionTimers {
  private readonly pending = new Map<string, Subscription>();

  constructor(private readonly timer: Timer) {}

  /**
   * Calls `expire` unless the suspicion of `name` is lifted in time. The time
   * starts anew when this process was paused at its end, as the refutation
   * may still wait to be read.
   */
  start(name: string, timeoutMs: number, expire: () => void): void {
    this.cancel(name);
    const due = this.timer.now() + timeoutMs;
    const subscription = this.timer.after(timeoutMs, () => {
      this.pending.delete(name);
      const late = this.timer.now() - due > LATE_MS;
      if (late) this.start(name, timeoutMs, expire);
      else expire();
    });
    this.pending.set(name, subscription);
  }

  cancel(name: string): void {
    this.pending.get(name)?.end();
    this.pending.delete(name);
  }

  /** Lifts all suspicions. */
  cancelAll(): void {
    for (const name of [...this.pending.keys()]) this.cancel(name);
  }
}
