import type {Subscription, Timer} from '../timer/index.js';

/** Suspicion time-out in a fleet of up to ten instances, in ms. */
const MIN_SUSPICION_MS = 4_000;
/** A timer this late, in ms, means that the process was paused. */
const PAUSE_MS = 500;

/** How long a member is suspect before it counts as dead, in ms. */
export function suspicionTimeoutMs(fleetSize: number): number {
  return MIN_SUSPICION_MS * Math.max(1, Math.log10(fleetSize));
}

/** Time-outs of the members that are suspect, by name. */
export class SuspicionTimers {
  private readonly pending = new Map<string, Subscription>();

  constructor(private readonly timer: Timer) {}

  /**
   * Calls `expire` after `timeoutMs` unless the time-out of `name` is cancelled
   * before. It starts again if the process was paused when it ran out, as a
   * refutation may have arrived that is not read yet.
   */
  start(name: string, timeoutMs: number, expire: () => void): void {
    this.cancel(name);
    const dueAt = this.timer.now() + timeoutMs;
    const subscription = this.timer.after(timeoutMs, () => {
      this.pending.delete(name);
      const wasPaused = this.timer.now() - dueAt > PAUSE_MS;
      if (wasPaused) this.start(name, timeoutMs, expire);
      else expire();
    });
    this.pending.set(name, subscription);
  }

  cancel(name: string): void {
    this.pending.get(name)?.end();
    this.pending.delete(name);
  }

  /** Cancels all time-outs. */
  cancelAll(): void {
    for (const name of [...this.pending.keys()]) this.cancel(name);
  }
}
