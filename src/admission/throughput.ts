const WINDOW_MS = 5_000;
const BUCKETS = 10;
const BUCKET_MS = WINDOW_MS / BUCKETS;
const RETRY_FLOOR_MS = 250;
const RETRY_CEILING_MS = 60_000;
/** Share by which advice is spread, so that callers don't return together. */
const RETRY_JITTER = 0.3;

/** Counts requests ended in the last seconds, to tell how fast work drains. */
export class Throughput {
  private readonly counts = new Array<number>(BUCKETS).fill(0);
  private bucket = 0;
  private readonly startedAt: number;

  constructor(
    now: number,
    private readonly random: () => number,
  ) {
    this.startedAt = now;
    this.bucket = Math.floor(now / BUCKET_MS);
  }

  recordEnd(now: number): void {
    this.advance(now);
    const index = this.bucket % BUCKETS;
    this.counts[index] = (this.counts[index] ?? 0) + 1;
  }

  /** Requests ended per second. */
  perSecond(now: number): number {
    this.advance(now);
    const sum = this.counts.reduce((total, count) => total + count, 0);
    const spanMs = Math.min(WINDOW_MS, Math.max(1_000, now - this.startedAt));
    return (sum / spanMs) * 1_000;
  }

  /** When a caller should come back while `ahead` requests wait, in ms. */
  retryAfterMs(ahead: number, now: number): number {
    const rate = Math.max(0.1, this.perSecond(now));
    const drainMs = (ahead / rate) * 1_000;
    const spread = 1 + RETRY_JITTER * this.random();
    const bounded = Math.max(RETRY_FLOOR_MS, drainMs * spread);
    return Math.round(Math.min(RETRY_CEILING_MS, bounded));
  }

  private advance(now: number): void {
    const current = Math.floor(now / BUCKET_MS);
    const passed = Math.min(BUCKETS, current - this.bucket);
    for (let step = 1; step <= passed; step++) {
      this.counts[(this.bucket + step) % BUCKETS] = 0;
    }
    this.bucket = Math.max(this.bucket, current);
  }
}
