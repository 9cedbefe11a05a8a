const INITIAL_LIMIT = 8;
const MIN_LIMIT = 1;
const MAX_LIMIT = 512;
const DECREASE_FACTOR = 0.85;
/** Share of the limit that must be in use for the limit to grow. */
const MIN_GROWTH_UTILIZATION = 0.7;
/** Queueing delay up to which the limit does not shrink, in ms. */
const QUEUEING_TOLERANCE_MS = 200;
/** The same as a multiple of the unloaded latency; the larger one applies. */
const QUEUEING_TOLERANCE_FACTOR = 1;
/** Minimum time between two decreases, in ms. */
const MIN_DECREASE_INTERVAL_MS = 250;

/**
 * Adaptive limit on the concurrent attempts of this instance on one upstream.
 * It grows while latency stays near that of an unloaded upstream and shrinks
 * when latency shows queueing, so that instances sharing an upstream converge
 * on a share each without communicating.
 */
export class ConcurrencyLimit {
  private limit = INITIAL_LIMIT;
  private slowStart = true;
  private decreasedAt = -Infinity;

  /** The current limit; not necessarily a whole number. */
  get value(): number {
    return this.limit;
  }

  /**
   * Adjusts the limit to the latency of an attempt. `unloadedMs` is the latency
   * expected of an unloaded upstream; `inflight` is the number of this
   * instance's attempts in flight when the attempt started, itself included.
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
    else if (inflight >= this.limit * MIN_GROWTH_UTILIZATION) this.increase();
  }

  /** Decreases the limit after a failure or a sign of overload. */
  decrease(now: number): void {
    this.slowStart = false;
    if (now - this.decreasedAt < MIN_DECREASE_INTERVAL_MS) return;
    this.decreasedAt = now;
    this.limit = Math.max(MIN_LIMIT, this.limit * DECREASE_FACTOR);
  }

  /** Resets to a low limit and slow start, such as after an ejection. */
  restartSlowStart(): void {
    this.limit = Math.min(this.limit, INITIAL_LIMIT / 4);
    this.slowStart = true;
  }

  private increase(): void {
    const increment = this.slowStart ? 1 : 1 / this.limit;
    this.limit = Math.min(MAX_LIMIT, this.limit + increment);
  }
}
