/**
 * One direction of a link that all traffic shares: bytes go through it one
 * after the other, whatever connection they belong to.
 */
export class SharedLink {
  /** Bytes that went through so far. */
  bytes = 0;
  private busyUntil = 0;

  constructor(private readonly bytesPerSecond: number) {}

  /** Takes in bytes and returns when they are through, in monotonic ms. */
  transmit(bytes: number, now: number): number {
    this.bytes += bytes;
    const busyMs = (bytes / this.bytesPerSecond) * 1000;
    this.busyUntil = Math.max(now, this.busyUntil) + busyMs;
    return this.busyUntil;
  }
}
