import type {Configuration} from '../config/index.js';
import {linkName} from './topology.js';

/** Seconds of its rate that a link's budget may save up. */
const SAVED_SECONDS = 2;
/** Share of the saved budget that each tier leaves to the tiers above it. */
const RESERVE_PER_TIER = 0.12;
const RESERVE_LIMIT = 0.9;
const BYTES_PER_MEGABIT = 125_000;

/** The bytes one instance may still send over a link, both ways together. */
class LinkBudget {
  private bytes: number;

  constructor(
    private rate: number,
    private at: number,
  ) {
    this.bytes = rate * SAVED_SECONDS;
  }

  setRate(rate: number): void {
    this.rate = rate;
  }

  admits(bytes: number, tier: number, now: number): boolean {
    this.refill(now);
    const capacity = this.rate * SAVED_SECONDS;
    const reserve = Math.min(RESERVE_LIMIT, RESERVE_PER_TIER * tier);
    return this.bytes - bytes >= reserve * capacity;
  }

  spend(bytes: number, now: number): void {
    this.refill(now);
    this.bytes -= bytes;
  }

  private refill(now: number): void {
    const earned = ((now - this.at) / 1000) * this.rate;
    this.bytes = Math.min(this.rate * SAVED_SECONDS, this.bytes + earned);
    this.at = now;
  }
}

/**
 * Byte budgets of the paid links. The share of a link's capacity that requests
 * may use is divided equally over the live instances; lower tiers leave part
 * of the budget to higher ones. Bytes are spent as they are sent, so a budget
 * may go below zero and admits nothing until it has recovered.
 */
export class LinkBudgets {
  private readonly budgets = new Map<string, LinkBudget>();

  /** Follows a configuration and the number of live instances. */
  apply({links}: Configuration, instances: number, now: number): void {
    const names = new Set(links.map(linkName));
    for (const name of this.budgets.keys()) {
      if (!names.has(name)) this.budgets.delete(name);
    }
    for (const link of links) {
      const capacity = link.capacityMbps * BYTES_PER_MEGABIT;
      const rate = (capacity * link.share) / Math.max(1, instances);
      const known = this.budgets.get(linkName(link));
      if (known !== undefined) known.setRate(rate);
      else this.budgets.set(linkName(link), new LinkBudget(rate, now));
    }
  }

  /** Whether a request of `tier` may send `bytes` over a link. */
  canSpend(link: string, bytes: number, tier: number, now: number): boolean {
    return this.budgets.get(link)?.admits(bytes, tier, now) ?? false;
  }

  /** Counts bytes sent over a link. */
  spend(link: string, bytes: number, now: number): void {
    this.budgets.get(link)?.spend(bytes, now);
  }
}
