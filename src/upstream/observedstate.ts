import {CachedBlocks} from './cachedblocks.js';
import {TierUsage} from './tierusage.js';
import {Health} from './health.js';
import {ConcurrencyLimit} from './concurrencylimit.js';
import {LatencyModel} from './latencymodel.js';

/** An attempt whose prompt is being prefilled: no first token yet. */
export interface PendingPrefill {
  /** Monotonic time in ms. */
  readonly startedAt: number;
  /** Prompt tokens that are not expected in the cache. */
  readonly uncachedTokens: number;
  /** Hash of the prompt's shared prefix; undefined for a short prompt. */
  readonly prefixKey: string | undefined;
}

/** State of one upstream as observed by this instance through its attempts. */
export class ObservedState {
  readonly concurrencyLimit = new ConcurrencyLimit();
  readonly latency = new LatencyModel();
  readonly health = new Health();
  readonly cache = new CachedBlocks();
  readonly tierUsage = new TierUsage();
  /** This instance's attempts in flight when it requested the latest report. */
  inflightAtReport = 0;
  /** Sum of the uncached prompt tokens of all pending prefills. */
  pendingPrefillTokens = 0;
  /** This instance's attempts without a first token, oldest first. */
  private readonly prefills = new Set<PendingPrefill>();

  /** Records the start of an attempt. */
  startPrefill(prefill: PendingPrefill): void {
    this.prefills.add(prefill);
    this.pendingPrefillTokens += prefill.uncachedTokens;
  }

  /** Whether a pending prefill of this instance includes the prefix. */
  isPrefilling(prefixKey: string): boolean {
    for (const prefill of this.prefills) {
      if (prefill.prefixKey === prefixKey) return true;
    }
    return false;
  }

  /**
   * Records that the first token of an attempt has arrived or that the attempt
   * has ended without one. Later calls for the same attempt have no effect.
   */
  endPrefill(prefill: PendingPrefill): void {
    if (!this.prefills.delete(prefill)) return;
    this.pendingPrefillTokens -= prefill.uncachedTokens;
  }

  /** Returns the age of the oldest pending prefill in ms; 0 without any. */
  oldestPrefillAgeMs(now: number): number {
    for (const {startedAt} of this.prefills) return now - startedAt;
    return 0;
  }
}
