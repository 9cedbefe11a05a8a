/** Number of buckets that a window is divided into. */
const BUCKETS = 20;

/** Sum of amounts over a sliding time window; times in monotonic ms. */
export class SlidingSum {
  private readonly amounts = new Array<number>(BUCKETS).fill(0);
  private currentBucket = 0;

  /** `lengthMs` is the length of the window, in ms. */
  constructor(readonly lengthMs: number) {}

  add(now: number, amount: number): void {
    this.advance(now);
    const index = this.currentBucket % BUCKETS;
    this.amounts[index] = (this.amounts[index] ?? 0) + amount;
  }

  sum(now: number): number {
    this.advance(now);
    return this.amounts.reduce((total, amount) => total + amount, 0);
  }

  private advance(now: number): void {
    const current = Math.floor((now / this.lengthMs) * BUCKETS);
    const steps = Math.min(BUCKETS, current - this.currentBucket);
    for (let step = 1; step <= steps; step++) {
      this.amounts[(current - steps + step) % BUCKETS] = 0;
    }
    this.currentBucket = current;
  }
}
