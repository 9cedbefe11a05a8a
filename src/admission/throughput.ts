/** Time over which the rate is measured. */
const WINDOW_MS = 5_000;
const BUCKET_COUNT = 10;
const BUCKET_MS = WINDOW_MS / BUCKET_COUNT;
const MIN_RETRY_AFTER_MS = 250;
const MAX_RETRY_AFTER_MS = 60_000;
/** Random share added to retry delays, so that callers don't retry together. */
const RETRY_AFTER_JITTER_SHARE = 0.3;

/**
 * Rate at which attempts end, over a sliding window, from which retry delays
 * for refused callers are derived.
 */
export class Throughput {
  private readonly counts = new Array<number>(BUCKET_COUNT).fill(0);
  private currentBucket = 0;
  private readonly startedAt: number;

  constructor(
    now: number,
    private readonly random: () => number,
  ) {
    this.startedAt = now;
    this.currentBucket = Math.floor(now / BUCKET_MS);
  }

  recordEnd(now: number): void {
    this.advance(now);
    const index = this.currentBucket % BUCKET_COUNT;
    this.counts[index] = (this.counts[index] ?? 0) + 1;
  }

  /** Attempts ended per second. */
  perSecond(now: number): number {
    this.advance(now);
    const sum = this.counts.reduce((total, count) => total + count, 0);
    const spanMs = Math.min(WINDOW_MS, Math.max(1_000, now - this.startedAt));
    return (sum / spanMs) * 1_000;
  }

  /**
   * Time after which a caller should retry, in ms: the time in which `ahead`
   * waiting requests end at the current rate, bounded and with jitter.
   */
  retryAfterMs(ahead: number, now: number): number {
    const perSecond = Math.max(0.1, this.perSecond(now));
    const drainMs = (ahead / perSecond) * 1_000;
    const jitter = 1 + RETRY_AFTER_JITTER_SHARE * this.random();
    const bounded = Math.max(MIN_RETRY_AFTER_MS, drainMs * jitter);
    return Math.round(Math.min(MAX_RETRY_AFTER_MS, bounded));
  }

  /** Clears the buckets that have passed since the last call. */
  private advance(now: number): void {
    const bucket = Math.floor(now / BUCKET_MS);
    const elapsedBuckets = Math.min(BUCKET_COUNT, bucket - this.currentBucket);
    for (let step = 1; step <= elapsedBuckets; step++) {
      this.counts[(this.currentBucket + step) % BUCKET_COUNT] = 0;
    }
    this.currentBucket = Math.max(this.currentBucket, bucket);
  }
}
