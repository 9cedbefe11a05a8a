const INITIAL_LIMIT = 8;
const LIMIT_FLOOR = 1;
const LIMIT_CEILING = 512;
const DECREASE_FACTOR = 0.85;
/** Share of the limit that must be in use before it grows. */
const GROWTH_UTILIZATION = 0.7;
/** Queueing that is tolerated before the limit shrinks, in ms. */
const QUEUEING_TOLERANCE_MS = 200;
/** Queueing tolerated as a multiple of the unloaded latency. */
const QUEUEING_TOLERANCE_FACTOR = 1;
/** Time between two decreases at least, in ms. */
const DECREASE_INTERVAL_MS = 250;

/**
 * The number of attempts this instance runs on one upstream at once. It grows
 * while latency stays near that of an unloaded upstream and shrinks when
 * latency shows a queue, so that instances that share an upstream settle on a
 * share each without talking.
 */
export class ConcurrencyLimit {
  private limit = INITIAL_LIMIT;
  private slowStart = true;
  private decreasedAt = -Infinity;

  get value(): number {
    return this.limit;
  }

  /**
   * Takes in the latency of an attempt. `unloadedMs` is what an unloaded
   * upstream would have taken; `inflight` counts attempts at its start.
   */
  observeLatency(
    latencyMs: number,
    unloadedMs: number,
    inflight: number,
    now: number,
  ): void {
    const queueingMs = latencyMs - unloadedMs;
    const toleratedMs = Math.max(
      QUEUEING_TOLERANCE_MS,
      unloadedMs * QUEUEING_TOLERANCE_FACTOR,
    );
    if (queueingMs > toleratedMs) this.decrease(now);
    else if (inflight >= this.limit * GROWTH_UTILIZATION) this.increase();
  }

  /** Shrinks the limit after a failure or a sign of overload. */
  decrease(now: number): void {
    this.slowStart = false;
    if (now - this.decreasedAt < DECREASE_INTERVAL_MS) return;
    this.decreasedAt = now;
    this.limit = Math.max(LIMIT_FLOOR, this.limit * DECREASE_FACTOR);
  }

  /** Starts again from a low limit, such as after an ejection. */
  restartSlowStart(): void {
    this.limit = Math.min(this.limit, INITIAL_LIMIT / 4);
    this.slowStart = true;
  }

  private increase(): void {
    const step = this.slowStart ? 1 : 1 / this.limit;
    this.limit = Math.min(LIMIT_CEILING, this.limit + step);
  }
}
