/** Unused budget that may accumulate, in seconds at the budget's rate. */
const MAX_SAVED_SECONDS = 1;

/**
 * A token bucket that limits traffic to a rate in bytes per second. Bytes are
 * counted once their number is known, so the balance may become negative.
 */
export class ByteBudget {
  private availableBytes = 0;

  constructor(
    private readonly bytesPerSecond: number,
    /** Monotonic time of the last refill, in ms. */
    private refilledAt: number,
  ) {}

  /** Refills the budget; returns whether the balance allows more traffic. */
  canSpend(now: number): boolean {
    const earnedBytes = ((now - this.refilledAt) / 1000) * this.bytesPerSecond;
    const maxBytes = this.bytesPerSecond * MAX_SAVED_SECONDS;
    this.availableBytes = Math.min(maxBytes, this.availableBytes + earnedBytes);
    this.refilledAt = now;
    return this.availableBytes >= 0;
  }

  /** Deducts bytes that were transferred. */
  spend(bytes: number): void {
    this.availableBytes -= bytes;
  }
}
