import {CachedBlocks} from './cachedblocks.js';
import {TierUsage} from './tierusage.js';
import {Health} from './health.js';
import {ConcurrencyLimit} from './concurrencylimit.js';
import {LatencyModel} from './latencymodel.js';

/** An attempt that waits for its first token. */
export interface PendingPrefill {
  /** Monotonic ms. */
  readonly startedAt: number;
  /** Prompt tokens that are not expected in the cache. */
  readonly uncachedTokens: number;
  /** Key of the prompt's prefix, if it is long enough to have one. */
  readonly prefixKey: string | undefined;
}

/** What an instance has learnt of an upstream's present condition. */
export class ObservedState {
  readonly concurrencyLimit = new ConcurrencyLimit();
  readonly latency = new LatencyModel();
  readonly health = new Health();
  readonly cache = new CachedBlocks();
  readonly tierUsage = new TierUsage();
  /** Own attempts in flight when the newest load report arrived. */
  inflightAtReport = 0;
  /** Prompt tokens that own attempts without a first token wait for. */
  pendingPrefillTokens = 0;
  /** Attempts that have no first token yet, oldest first. */
  private readonly pending = new Set<PendingPrefill>();

  /** Notes the start of an attempt. */
  startPrefill(start: PendingPrefill): void {
    this.pending.add(start);
    this.pendingPrefillTokens += start.uncachedTokens;
  }

  /** Whether an own attempt is computing a prefix now. */
  isPrefilling(prefixKey: string): boolean {
    for (const start of this.pending) {
      if (start.prefixKey === prefixKey) return true;
    }
    return false;
  }

  /** Notes that the first token of an attempt arrived, or never will. */
  endPrefill(start: PendingPrefill): void {
    if (!this.pending.delete(start)) return;
    this.pendingPrefillTokens -= start.uncachedTokens;
  }

  /** Age in ms of the oldest attempt that has no first token yet. */
  oldestPrefillAgeMs(now: number): number {
    for (const {startedAt} of this.pending) return now - startedAt;
    return 0;
  }
}
