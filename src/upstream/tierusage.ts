/** Tiers of priority, 0 to 6. */
const TIERS = 7;
/** Time in which the memory of a peak fades to a third, in ms. */
const FADE_MS = 3_000;

/**
 * The slots of an upstream that tiers have used lately. Lower tiers leave free
 * what higher ones used and are likely to use again in a moment.
 */
export class TierUsage {
  /** Attempts in flight of the tiers above each tier. */
  private readonly above = new Array<number>(TIERS).fill(0);
  /** Fading peaks of the same. */
  private readonly peaks = new Array<number>(TIERS).fill(0);
  private at = 0;

  recordStart(tier: number, now: number): void {
    this.change(tier, 1, now);
  }

  recordEnd(tier: number, now: number): void {
    this.change(tier, -1, now);
  }

  /** Slots that the tiers above `tier` used lately and do not use now. */
  reservedSlots(tier: number, now: number): number {
    this.fade(now);
    return Math.max(0, (this.peaks[tier] ?? 0) - (this.above[tier] ?? 0));
  }

  private change(tier: number, by: 1 | -1, now: number): void {
    this.fade(now);
    for (let lower = tier + 1; lower < TIERS; lower++) {
      const count = (this.above[lower] ?? 0) + by;
      this.above[lower] = count;
      this.peaks[lower] = Math.max(count, this.peaks[lower] ?? 0);
    }
  }

  private fade(now: number): void {
    const factor = Math.exp((this.at - now) / FADE_MS);
    this.at = now;
    for (let tier = 0; tier < TIERS; tier++) {
      const current = this.above[tier] ?? 0;
      const faded = (this.peaks[tier] ?? 0) * factor;
      this.peaks[tier] = Math.max(current, faded);
    }
  }
}
