import type {Configuration} from '../config/index.js';
import {linkName} from './topology.js';

/** Unused budget that may accumulate, in seconds at the budget's rate. */
const MAX_SAVED_SECONDS = 2;
/** Share of the maximum budget that each tier leaves to the tiers above it. */
const RESERVE_SHARE_PER_TIER = 0.12;
/** Upper bound of the share that a tier leaves to the tiers above it. */
const MAX_RESERVE_SHARE = 0.9;
const BYTES_PER_MEGABIT = 125_000;

/** Token bucket of one link's bytes, both directions together. */
class LinkBudget {
  private availableBytes: number;

  constructor(
    private bytesPerSecond: number,
    /** Monotonic time of the last refill, in ms. */
    private refilledAt: number,
  ) {
    this.availableBytes = bytesPerSecond * MAX_SAVED_SECONDS;
  }

  setRate(bytesPerSecond: number): void {
    this.bytesPerSecond = bytesPerSecond;
  }

  canSpend(bytes: number, tier: number, now: number): boolean {
    this.refill(now);
    const maxBytes = this.bytesPerSecond * MAX_SAVED_SECONDS;
    const reservedShare = Math.min(
      MAX_RESERVE_SHARE,
      RESERVE_SHARE_PER_TIER * tier,
    );
    return this.availableBytes - bytes >= reservedShare * maxBytes;
  }

  spend(bytes: number, now: number): void {
    this.refill(now);
    this.availableBytes -= bytes;
  }

  private refill(now: number): void {
    const earnedBytes = ((now - this.refilledAt) / 1000) * this.bytesPerSecond;
    this.availableBytes = Math.min(
      this.bytesPerSecond * MAX_SAVED_SECONDS,
      this.availableBytes + earnedBytes,
    );
    this.refilledAt = now;
  }
}

/**
 * Byte budgets of the paid links between regions. The share of a link's
 * capacity that requests may use is divided equally among the live instances;
 * lower tiers leave part of the budget to higher ones. Bytes are deducted as
 * they are sent, so a budget may become negative and then allows nothing until
 * it has refilled.
 */
export class LinkBudgets {
  private readonly budgets = new Map<string, LinkBudget>();

  /** Applies a configuration and the number of live instances. */
  apply({links}: Configuration, instances: number, now: number): void {
    const names = new Set(links.map(linkName));
    for (const name of this.budgets.keys()) {
      if (!names.has(name)) this.budgets.delete(name);
    }
    for (const link of links) {
      const linkBytesPerSecond = link.capacityMbps * BYTES_PER_MEGABIT;
      const rate = (linkBytesPerSecond * link.share) / Math.max(1, instances);
      const budget = this.budgets.get(linkName(link));
      if (budget !== undefined) budget.setRate(rate);
      else this.budgets.set(linkName(link), new LinkBudget(rate, now));
    }
  }

  /** Whether a request of `tier` may transfer `bytes` over a link. */
  canSpend(link: string, bytes: number, tier: number, now: number): boolean {
    return this.budgets.get(link)?.canSpend(bytes, tier, now) ?? false;
  }

  /** Deducts bytes transferred over a link. */
  spend(link: string, bytes: number, now: number): void {
    this.budgets.get(link)?.spend(bytes, now);
  }
}
