import {SlidingSum} from './slidingsum.js';

/** Share of the allowance that is used; the rest covers unlike clocks. */
const USED_SHARE = 0.9;
/** Repeats that an instance may send whatever its traffic. */
const MINIMUM = 1;

/** Bound on repeats over the whole fleet. */
export interface AllowanceLimits {
  /** Repeats allowed for each first attempt. */
  ratio: number;
  /** Length of the window that both are counted in, in ms. */
  windowMs: number;
}

/**
 * The share of the fleet's retry budget that one instance may use for one
 * service. An instance stays within the ratio of its own traffic, so the fleet
 * stays within it without talk.
 */
export class RetryBudget {
  private readonly first: SlidingSum;
  private readonly repeats: SlidingSum;

  constructor(private limits: AllowanceLimits) {
    this.first = new SlidingSum(limits.windowMs);
    this.repeats = new SlidingSum(limits.windowMs);
  }

  /** Takes a changed ratio into use. */
  setRatio({ratio}: AllowanceLimits): void {
    this.limits = {...this.limits, ratio};
  }

  /** Counts a request that is sent for the first time. */
  countFirstAttempt(now: number): void {
    this.first.add(now, 1);
  }

  /** Repeats that may be sent now. */
  remaining(now: number): number {
    const allowed = this.first.sum(now) * this.limits.ratio * USED_SHARE;
    return Math.max(MINIMUM, Math.floor(allowed)) - this.repeats.sum(now);
  }

  /** Takes one repeat, if there is one left. */
  take(now: number): boolean {
    if (this.remaining(now) < 1) return false;
    this.repeats.add(now, 1);
    return true;
  }
}
