/** Bytes a pace may fall behind or save up, in seconds of its rate. */
const SAVED_SECONDS = 1;

/** Spreads traffic so that it keeps to a number of bytes per second. */
export class ByteBudget {
  private bytes = 0;

  constructor(
    private readonly bytesPerSecond: number,
    private at: number,
  ) {}

  /** Whether more may be sent now. */
  canSpend(now: number): boolean {
    const earned = ((now - this.at) / 1000) * this.bytesPerSecond;
    const limit = this.bytesPerSecond * SAVED_SECONDS;
    this.bytes = Math.min(limit, this.bytes + earned);
    this.at = now;
    return this.bytes >= 0;
  }

  /** Counts bytes that were sent. */
  spend(bytes: number): void {
    this.bytes -= bytes;
  }
}
