/**
 * One direction of a network link whose capacity all connections share. Bytes
 * are transmitted in the order in which they are sent, over all connections.
 */
export class SharedLink {
  /** Bytes transmitted so far. */
  bytes = 0;
  private busyUntil = 0;

  constructor(private readonly bytesPerSecond: number) {}

  /**
   * Queues bytes for transmission at `now` and returns when the transmission
   * ends, both in monotonic ms.
   */
  transmit(bytes: number, now: number): number {
    this.bytes += bytes;
    const transmissionMs = (bytes / this.bytesPerSecond) * 1000;
    this.busyUntil = Math.max(now, this.busyUntil) + transmissionMs;
    return this.busyUntil;
  }
}
