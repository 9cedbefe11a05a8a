import {CachedBlocks} from './cache.js';
import {Health} from './health.js';
import {AdaptiveLimit} from './limit.js';
import {Speed} from './speed.js';

/** An attempt that waits for its first token. */
export interface PendingStart {
  /** Monotonic ms. */
  readonly startedAt: number;
  /** Prompt tokens that are not expected in the cache. */
  readonly promptTokens: number;
}

/** What an instance has learnt of an upstream's present condition. */
export class Condition {
  readonly limit = new AdaptiveLimit();
  readonly speed = new Speed();
  readonly health = new Health();
  readonly cache = new CachedBlocks();
  /** Own attempts in flight when the newest load report arrived. */
  inflightAtReport = 0;
  /** Prompt tokens that own attempts without a first token wait for. */
  pendingTokens = 0;
  /** Attempts that have no first token yet, oldest first. */
  private readonly pending = new Set<PendingStart>();

  /** Notes the start of an attempt that computes `promptTokens`. */
  begin(startedAt: number, promptTokens: number): PendingStart {
    const start = {startedAt, promptTokens};
    this.pending.add(start);
    this.pendingTokens += promptTokens;
    return start;
  }

  /** Notes that the first token of an attempt arrived, or never will. */
  settle(start: PendingStart): void {
    if (!this.pending.delete(start)) return;
    this.pendingTokens -= start.promptTokens;
  }

  /** Age in ms of the oldest attempt that has no first token yet. */
  oldestPendingMs(now: number): number {
    for (const {startedAt} of this.pending) return now - startedAt;
    return 0;
  }
}
