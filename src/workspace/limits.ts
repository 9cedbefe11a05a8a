import type {Limits} from '../config/index.js';

/** Whether a request is within its limits. */
export type LimitResult =
  | {type: 'within'}
  /** The limit of concurrent requests is reached; the request may wait. */
  | {type: 'busy'}
  /** The rate or the limit of queued requests is exceeded. */
  | {type: 'exceeded'; retryAfterMs: number};

/** A token bucket whose capacity is one second of its rate, at least 1. */
class TokenBucket {
  private tokens: number;

  constructor(
    private readonly ratePerSecond: number,
    /** Monotonic time of the last refill, in ms. */
    private refilledAt: number,
  ) {
    this.tokens = Math.max(1, ratePerSecond);
  }

  /** Takes a token and returns 0, or returns the wait for one in ms. */
  take(now: number): number {
    const refilled =
      this.tokens + ((now - this.refilledAt) / 1000) * this.ratePerSecond;
    this.tokens = Math.min(Math.max(1, this.ratePerSecond), refilled);
    this.refilledAt = now;
    if (this.tokens >= 1) {
      this.tokens--;
      return 0;
    }
    return Math.ceil(((1 - this.tokens) / this.ratePerSecond) * 1000);
  }
}

/** Usage of one owner; `usedAt` is monotonic ms. */
interface Usage {
  running: number;
  queued: number;
  bucket?: TokenBucket;
  usedAt: number;
}

/** How long the state of an idle owner is kept. */
const IDLE_RETENTION_MS = 10_000;
const OPERATIONS_PER_SWEEP = 1_024;

/**
 * Enforces the configured limits of classes or of workspaces, which are the
 * owners of the limits. Limits on concurrent requests and on the request rate
 * apply to the whole fleet and are divided equally among its live instances.
 * State is kept for owners that have requests here or had some within the last
 * seconds.
 */
export class LimitTracker {
  private readonly usages = new Map<string, Usage>();
  private operations = 0;

  /** Number of owners with state. */
  get size(): number {
    return this.usages.size;
  }

  /**
   * Counts a request against the rate of its owner. Returns `exceeded` if the
   * rate or the limit of queued requests does not allow it.
   */
  recordArrival(
    owner: string,
    limits: Limits,
    instances: number,
    now: number,
  ): LimitResult {
    const usage = this.touchUsage(owner, now);
    if (limits.queued !== undefined && usage.queued >= limits.queued) {
      return {type: 'exceeded', retryAfterMs: 1_000};
    }
    if (limits.requestsPerSecond === undefined) return {type: 'within'};
    const ratePerSecond = limits.requestsPerSecond / instances;
    usage.bucket ??= new TokenBucket(ratePerSecond, now);
    const waitMs = usage.bucket.take(now);
    if (waitMs === 0) return {type: 'within'};
    return {type: 'exceeded', retryAfterMs: waitMs};
  }

  /** Whether the concurrency limit lets one more request of the owner start. */
  mayStart(owner: string, limits: Limits, instances: number): boolean {
    if (limits.concurrent === undefined) return true;
    const instanceLimit = Math.max(
      1,
      Math.floor(limits.concurrent / instances),
    );
    return (this.usages.get(owner)?.running ?? 0) < instanceLimit;
  }

  /** Records that a request was queued (1) or left the queue (-1). */
  adjustQueued(owner: string, change: 1 | -1, now: number): void {
    this.touchUsage(owner, now).queued += change;
  }

  recordStart(owner: string, now: number): void {
    this.touchUsage(owner, now).running++;
  }

  recordEnd(owner: string, now: number): void {
    this.touchUsage(owner, now).running--;
  }

  /** Returns the usage of an owner and records the access. */
  private touchUsage(owner: string, now: number): Usage {
    this.operations++;
    if (this.operations % OPERATIONS_PER_SWEEP === 0) this.deleteIdle(now);
    const usage = this.usages.get(owner) ?? {
      running: 0,
      queued: 0,
      usedAt: now,
    };
    usage.usedAt = now;
    this.usages.set(owner, usage);
    return usage;
  }

  private deleteIdle(now: number): void {
    for (const [owner, {running, queued, usedAt}] of this.usages) {
      const idle = running + queued === 0 && now - usedAt > IDLE_RETENTION_MS;
      if (idle) this.usages.delete(owner);
    }
  }
}
