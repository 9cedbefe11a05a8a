/** Buckets that a window is counted in. */
const BUCKETS = 20;

/** A sum over a window of time that slides. */
export class SlidingSum {
  private readonly amounts = new Array<number>(BUCKETS).fill(0);
  private bucket = 0;

  /** `lengthMs` is the length of the window. */
  constructor(readonly lengthMs: number) {}

  add(now: number, amount: number): void {
    this.turn(now);
    const index = this.bucket % BUCKETS;
    this.amounts[index] = (this.amounts[index] ?? 0) + amount;
  }

  sum(now: number): number {
    this.turn(now);
    return this.amounts.reduce((total, amount) => total + amount, 0);
  }

  private turn(now: number): void {
    const current = Math.floor((now / this.lengthMs) * BUCKETS);
    const steps = Math.min(BUCKETS, current - this.bucket);
    for (let step = 1; step <= steps; step++) {
      this.amounts[(current - steps + step) % BUCKETS] = 0;
    }
    this.bucket = current;
  }
}
