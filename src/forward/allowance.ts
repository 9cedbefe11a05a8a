/** Share of the allowance that is used; the rest covers unlike clocks. */
const USED_SHARE = 0.9;
/** Repeats that an instance may send whatever its traffic. */
const MINIMUM = 1;
/** Buckets that a window is counted in. */
const BUCKETS = 20;

/** Bound on repeats over the whole fleet. */
export interface AllowanceLimits {
  /** Repeats allowed for each first attempt. */
  ratio: number;
  /** Length of the window that both are counted in, in ms. */
  windowMs: number;
}

class Window {
  private readonly counts = new Array<number>(BUCKETS).fill(0);
  private bucket = 0;

  constructor(private readonly lengthMs: number) {}

  add(now: number): void {
    this.turn(now);
    const index = this.bucket % BUCKETS;
    this.counts[index] = (this.counts[index] ?? 0) + 1;
  }

  sum(now: number): number {
    this.turn(now);
    return this.counts.reduce((total, count) => total + count, 0);
  }

  private turn(now: number): void {
    const current = Math.floor((now / this.lengthMs) * BUCKETS);
    const steps = Math.min(BUCKETS, current - this.bucket);
    for (let step = 1; step <= steps; step++) {
      this.counts[(current - steps + step) % BUCKETS] = 0;
    }
    this.bucket = current;
  }
}

/**
 * The share of the fleet's retry budget that one instance may use for one
 * service. An instance stays within the ratio of its own traffic, so the fleet
 * stays within it without talk.
 */
export class Allowance {
  private readonly first: Window;
  private readonly repeats: Window;

  constructor(private limits: AllowanceLimits) {
    this.first = new Window(limits.windowMs);
    this.repeats = new Window(limits.windowMs);
  }

  /** Takes a changed ratio into use. */
  adjust({ratio}: AllowanceLimits): void {
    this.limits = {...this.limits, ratio};
  }

  /** Counts a request that is sent for the first time. */
  sent(now: number): void {
    this.first.add(now);
  }

  /** Repeats that may be sent now. */
  left(now: number): number {
    const allowed = this.first.sum(now) * this.limits.ratio * USED_SHARE;
    return Math.max(MINIMUM, Math.floor(allowed)) - this.repeats.sum(now);
  }

  /** Takes one repeat, if there is one left. */
  take(now: number): boolean {
    if (this.left(now) < 1) return false;
    this.repeats.add(now);
    return true;
  }
}
