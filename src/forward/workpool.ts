/** Work that is admitted at once, in units. */
const BURST = 10_000;
/** Work that is admitted all the time, in units a second. */
const PER_SECOND = 20_000;
/** The same while the event loop is late. */
const MIN_PER_SECOND = 5_000;
/** Growth of the rate once the event loop is in time again, in units a second. */
const GROWTH_PER_SECOND = 10_000;
/** Delay of the event loop from which on it is late, in ms. */
const LATE_MS = 25;
/** What remains of the rate after each look at a late event loop. */
const DECREASE = 0.5;

/**
 * Work that may be done, in units. Its rate follows the event loop: it falls while
 * the loop is late, as a machine may be too slow or too busy for the full rate.
 */
export class WorkPool {
  private left = BURST;
  private perSecond = PER_SECOND;
  /** When the next look at the event loop is due; absent if none is. */
  private lookDueAt?: number;

  constructor(private refilledAt: number) {}

  /** Whether the event loop has been in time for a while. */
  isFullRate(now: number): boolean {
    this.refill(now);
    return this.perSecond === PER_SECOND;
  }

  /** Whether the event loop has not come to the look that is due. */
  isLate(now: number): boolean {
    return now - (this.lookDueAt ?? now) >= LATE_MS;
  }

  /** Takes work if any is left, on account of what comes; false if none is. */
  take(units: number, now: number): boolean {
    this.refill(now);
    if (this.left <= 0) return false;
    this.left -= units;
    return true;
  }

  /** Expects the event loop to call [[look]] at a time. */
  expectLook(dueAt: number): void {
    this.lookDueAt = dueAt;
  }

  /** Judges how late the event loop is. */
  look(now: number): void {
    this.refill(now);
    if (this.isLate(now)) {
      this.perSecond = Math.max(MIN_PER_SECOND, this.perSecond * DECREASE);
    }
    delete this.lookDueAt;
  }

  private refill(now: number): void {
    const seconds = (now - this.refilledAt) / 1_000;
    this.refilledAt = now;
    this.left = Math.min(BURST, this.left + this.perSecond * seconds);
    if (this.isLate(now)) return;
    const grown = this.perSecond + GROWTH_PER_SECOND * seconds;
    this.perSecond = Math.min(PER_SECOND, grown);
  }
}
