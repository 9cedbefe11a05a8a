/** Number of priority tiers, 0 (highest) to 6. */
const TIER_COUNT = 7;
/** Time constant of the exponential decay of peaks, in ms. */
const PEAK_DECAY_MS = 3_000;

/**
 * Recent use of one upstream's slots by priority tier. Slots that higher tiers
 * used recently are reserved for them, since they are likely to need them again
 * soon.
 */
export class TierUsage {
  /** By tier: attempts in flight of all higher tiers. */
  private readonly inflightAbove = new Array<number>(TIER_COUNT).fill(0);
  /** By tier: decaying peak of `inflightAbove`. */
  private readonly peakAbove = new Array<number>(TIER_COUNT).fill(0);
  /** Monotonic time in ms up to which the peaks have decayed. */
  private decayedAt = 0;

  recordStart(tier: number, now: number): void {
    this.adjust(tier, 1, now);
  }

  recordEnd(tier: number, now: number): void {
    this.adjust(tier, -1, now);
  }

  /**
   * Returns how many slots to keep free for the tiers above `tier`: those that
   * they used recently but do not use now.
   */
  reservedSlots(tier: number, now: number): number {
    this.decayPeaks(now);
    return Math.max(
      0,
      (this.peakAbove[tier] ?? 0) - (this.inflightAbove[tier] ?? 0),
    );
  }

  private adjust(tier: number, delta: 1 | -1, now: number): void {
    this.decayPeaks(now);
    for (let lowerTier = tier + 1; lowerTier < TIER_COUNT; lowerTier++) {
      const count = (this.inflightAbove[lowerTier] ?? 0) + delta;
      this.inflightAbove[lowerTier] = count;
      this.peakAbove[lowerTier] = Math.max(
        count,
        this.peakAbove[lowerTier] ?? 0,
      );
    }
  }

  private decayPeaks(now: number): void {
    const factor = Math.exp((this.decayedAt - now) / PEAK_DECAY_MS);
    this.decayedAt = now;
    for (let tier = 0; tier < TIER_COUNT; tier++) {
      const current = this.inflightAbove[tier] ?? 0;
      const decayed = (this.peakAbove[tier] ?? 0) * factor;
      this.peakAbove[tier] = Math.max(current, decayed);
    }
  }
}
