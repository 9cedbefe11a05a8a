import {SlidingSum} from './slidingsum.js';

/** Share of the budget that is used; the rest covers differing clocks. */
const USABLE_SHARE = 0.9;
/** Retries in a window that are allowed however low the traffic is. */
const MIN_RETRIES = 1;

/** Limit on retries across the whole fleet. */
export interface RetryBudgetLimits {
  /** Retries allowed for each first attempt. */
  ratio: number;
  /** Length of the window in which both are counted, in ms. */
  windowMs: number;
}

/**
 * Retry budget of one instance for one service. Each instance limits retries to
 * a ratio of its own first attempts, so the fleet as a whole stays within the
 * ratio without coordination.
 */
export class RetryBudget {
  private readonly firstAttempts: SlidingSum;
  private readonly retries: SlidingSum;

  constructor(private limits: RetryBudgetLimits) {
    this.firstAttempts = new SlidingSum(limits.windowMs);
    this.retries = new SlidingSum(limits.windowMs);
  }

  /** Changes the ratio; the window keeps its length. */
  setRatio({ratio}: RetryBudgetLimits): void {
    this.limits = {...this.limits, ratio};
  }

  /** Counts the first attempt of a request, at `now` in monotonic ms. */
  countFirstAttempt(now: number): void {
    this.firstAttempts.add(now, 1);
  }

  /** Number of retries that may be sent now. */
  remaining(now: number): number {
    const allowed =
      this.firstAttempts.sum(now) * this.limits.ratio * USABLE_SHARE;
    return Math.max(MIN_RETRIES, Math.floor(allowed)) - this.retries.sum(now);
  }

  /** Takes one retry from the budget; false if none is left. */
  take(now: number): boolean {
    if (this.remaining(now) < 1) return false;
    this.retries.add(now, 1);
    return true;
  }
}
