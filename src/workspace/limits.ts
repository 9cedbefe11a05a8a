import type {Limits} from '../config/index.js';

/** Why a limit holds a request back. */
export type LimitResult =
  | {type: 'within'}
  /** The limit of concurrent requests is reached; the request may wait. */
  | {type: 'busy'}
  /** The rate is exceeded. */
  | {type: 'exceeded'; retryAfterMs: number};

/** A token bucket that holds up to one second of its rate. */
class RateBucket {
  private tokens: number;

  constructor(
    private readonly rate: number,
    private at: number,
  ) {
    this.tokens = Math.max(1, rate);
  }

  /** Returns 0 if a token was taken, or the wait for one in ms. */
  take(now: number): number {
    const filled = this.tokens + ((now - this.at) / 1000) * this.rate;
    this.tokens = Math.min(Math.max(1, this.rate), filled);
    this.at = now;
    if (this.tokens >= 1) {
      this.tokens--;
      return 0;
    }
    return Math.ceil(((1 - this.tokens) / this.rate) * 1000);
  }
}

interface Usage {
  running: number;
  queued: number;
  bucket?: RateBucket;
  usedAt: number;
}

const IDLE_MS = 10_000;
const SWEEP_EVERY = 1_024;

/**
 * Enforces contract limits on classes or workspaces. Limits over the whole
 * fleet are divided over its live instances. State is kept for owners that
 * have work here or had within the last seconds.
 */
export class LimitTracker {
  private readonly usages = new Map<string, Usage>();
  private operations = 0;

  /** Number of owners that state is kept for. */
  get size(): number {
    return this.usages.size;
  }

  /** Counts an arrival against the rate of its owner. */
  recordArrival(
    owner: string,
    limits: Limits,
    instances: number,
    now: number,
  ): LimitResult {
    const usage = this.usageOf(owner, now);
    if (limits.queued !== undefined && usage.queued >= limits.queued) {
      return {type: 'exceeded', retryAfterMs: 1_000};
    }
    if (limits.requestsPerSecond === undefined) return {type: 'within'};
    const rate = limits.requestsPerSecond / instances;
    usage.bucket ??= new RateBucket(rate, now);
    const waitMs = usage.bucket.take(now);
    if (waitMs === 0) return {type: 'within'};
    return {type: 'exceeded', retryAfterMs: waitMs};
  }

  /** Whether one more request of the owner may start. */
  mayStart(owner: string, limits: Limits, instances: number): boolean {
    if (limits.concurrent === undefined) return true;
    const share = Math.max(1, Math.floor(limits.concurrent / instances));
    return (this.usages.get(owner)?.running ?? 0) < share;
  }

  adjustQueued(owner: string, change: 1 | -1, now: number): void {
    this.usageOf(owner, now).queued += change;
  }

  recordStart(owner: string, now: number): void {
    this.usageOf(owner, now).running++;
  }

  recordEnd(owner: string, now: number): void {
    this.usageOf(owner, now).running--;
  }

  private usageOf(owner: string, now: number): Usage {
    this.operations++;
    if (this.operations % SWEEP_EVERY === 0) this.sweep(now);
    const usage = this.usages.get(owner) ?? {
      running: 0,
      queued: 0,
      usedAt: now,
    };
    usage.usedAt = now;
    this.usages.set(owner, usage);
    return usage;
  }

  private sweep(now: number): void {
    for (const [owner, {running, queued, usedAt}] of this.usages) {
      const idle = running + queued === 0 && now - usedAt > IDLE_MS;
      if (idle) this.usages.delete(owner);
    }
  }
}
