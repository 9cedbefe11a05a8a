import {CachedBlocks} from './cachedblocks.js';
import {TierDemand} from './tierusage.js';
import {Health} from './health.js';
import {AdaptiveLimit} from './concurrencylimit.js';
import {Speed} from './latencymodel.js';

/** An attempt that waits for its first token. */
export interface PendingStart {
  /** Monotonic ms. */
  readonly startedAt: number;
  /** Prompt tokens that are not expected in the cache. */
  readonly promptTokens: number;
  /** Key of the prompt's prefix, if it is long enough to have one. */
  readonly prefixKey: string | undefined;
}

/** What an instance has learnt of an upstream's present condition. */
export class Condition {
  readonly limit = new AdaptiveLimit();
  readonly speed = new Speed();
  readonly health = new Health();
  readonly cache = new CachedBlocks();
  readonly demand = new TierDemand();
  /** Own attempts in flight when the newest load report arrived. */
  inflightAtReport = 0;
  /** Prompt tokens that own attempts without a first token wait for. */
  pendingTokens = 0;
  /** Attempts that have no first token yet, oldest first. */
  private readonly pending = new Set<PendingStart>();

  /** Notes the start of an attempt. */
  begin(start: PendingStart): void {
    this.pending.add(start);
    this.pendingTokens += start.promptTokens;
  }

  /** Whether an own attempt is computing a prefix now. */
  computes(prefixKey: string): boolean {
    for (const start of this.pending) {
      if (start.prefixKey === prefixKey) return true;
    }
    return false;
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
