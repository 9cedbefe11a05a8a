import {SlidingSum} from './slidingsum.js';

/** Window of the placement rate, in ms; it spans several prompts. */
const PLACEMENT_RATE_WINDOW_MS = 2_000;
/** Lowest placement rate, in ms of prefill per ms; bounds estimated waits. */
const MIN_PLACEMENT_RATE = 0.05;
/**
 * Share of the engines' time that waiting prompts are assumed to get. Other
 * tiers and streams may take the rest.
 */
const GUARANTEED_ENGINE_SHARE = 0.5;

/** Rate at which an instance places prompts, to estimate waits. */
export class PlacementRate {
  private readonly placedMs = new SlidingSum(PLACEMENT_RATE_WINDOW_MS);

  /** Adds a placed prompt of `prefillMs` ms of prefill. */
  add(now: number, prefillMs: number): void {
    this.placedMs.add(now, prefillMs);
  }

  /**
   * Estimated time to place `aheadMs` ms of prefill, in ms. An instance is
   * assumed to get at least its share of the engines' time.
   */
  estimateWaitMs(
    aheadMs: number,
    now: number,
    {engines, instances}: {engines: number; instances: number},
  ): number {
    const rate = this.placedMs.sum(now) / this.placedMs.lengthMs;
    const guaranteedRate = (engines * GUARANTEED_ENGINE_SHARE) / instances;
    return aheadMs / Math.max(MIN_PLACEMENT_RATE, guaranteedRate, rate);
  }
}
