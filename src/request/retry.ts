import type {Timer} from '../timer/index.js';

/** Credits that one retry costs; each first attempt adds one credit. */
const CREDITS_PER_RETRY = 5;
/** Capacity of a bucket in credits, enough for 20 retries in a burst. */
const BUCKET_CAPACITY_CREDITS = 20 * CREDITS_PER_RETRY;
/** Credits added per second, so that low traffic can still be retried. */
const REFILL_CREDITS_PER_S = CREDITS_PER_RETRY;
/** Half of the longest delay before the first retry. */
const BACKOFF_BASE_MS = 25;
const BACKOFF_LIMIT_MS = 1_000;
/** Maximum number of buckets; the least recently used are evicted first. */
const BUCKETS_LIMIT = 4_096;

/** Decides whether and after which delay failed attempts are retried. */
export interface RetryPolicy {
  /** Counts a first attempt of a class on an upstream. */
  recordAttempt(className: string, upstream: string): void;
  /** Takes a retry of a class after a failure on an upstream, if allowed. */
  tryTake(className: string, upstream: string): boolean;
  /** Delay before retry number `retry`, counted from 1, in ms. */
  delayMs(retry: number): number;
}

/**
 * Retries every failure without a limit or delay. The baseline for benchmarks
 * of [[RetryBudget]].
 */
export const unlimitedRetries: RetryPolicy = {
  recordAttempt: () => undefined,
  tryTake: () => true,
  delayMs: () => 0,
};

/** A token bucket. Its tokens are called credits. */
class TokenBucket {
  private credits = BUCKET_CAPACITY_CREDITS;

  constructor(private refilledAt: number) {}

  add(): void {
    this.credits = Math.min(BUCKET_CAPACITY_CREDITS, this.credits + 1);
  }

  /** Refills the bucket and checks that it has the credits for one retry. */
  canTake(now: number): boolean {
    const refill = ((now - this.refilledAt) / 1000) * REFILL_CREDITS_PER_S;
    this.credits = Math.min(BUCKET_CAPACITY_CREDITS, this.credits + refill);
    this.refilledAt = now;
    return this.credits >= CREDITS_PER_RETRY;
  }

  take(): void {
    this.credits -= CREDITS_PER_RETRY;
  }
}

/**
 * Limits retries to a share of recent first attempts, for each class and each
 * upstream, so that retries can't amplify an overload.
 */
export class RetryBudget implements RetryPolicy {
  private readonly buckets = new Map<string, TokenBucket>();

  /** `random` returns numbers from 0 to 1, for jitter. */
  constructor(
    private readonly timer: Timer,
    private readonly random: () => number = Math.random,
  ) {}

  /** Counts a first attempt of a class on an upstream. */
  recordAttempt(className: string, upstream: string): void {
    this.bucketOf(`class ${className}`).add();
    this.bucketOf(`upstream ${upstream}`).add();
  }

  /** Takes a retry of a class after a failure on an upstream, if allowed. */
  tryTake(className: string, upstream: string): boolean {
    const now = this.timer.now();
    const buckets = [
      this.bucketOf(`class ${className}`),
      this.bucketOf(`upstream ${upstream}`),
    ];
    if (!buckets.every(bucket => bucket.canTake(now))) return false;
    for (const bucket of buckets) bucket.take();
    return true;
  }

  /** Delay before retry number `retry`, counted from 1, in ms. */
  delayMs(retry: number): number {
    const maxDelayMs = Math.min(BACKOFF_LIMIT_MS, BACKOFF_BASE_MS * 2 ** retry);
    return maxDelayMs * this.random();
  }

  private bucketOf(name: string): TokenBucket {
    const bucket = this.buckets.get(name) ?? new TokenBucket(this.timer.now());
    this.buckets.delete(name);
    this.buckets.set(name, bucket);
    if (this.buckets.size > BUCKETS_LIMIT) {
      const oldest = this.buckets.keys().next().value;
      if (oldest !== undefined) this.buckets.delete(oldest);
    }
    return bucket;
  }
}
