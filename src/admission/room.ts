import type {Upstream} from '../upstream/index.js';
import {loadOf, slotsOf} from './expectation.js';

/** On which account a request takes a slot. */
export enum Share {
  /** In the order of the queue. */
  Order = 'order',
  /** Owed to its class by its floor. */
  Floor = 'floor',
}

/** Share of the capacity that each tier leaves free for the tiers above. */
const RESERVE_PER_TIER = 0.05;
const RESERVE_LIMIT = 0.2;
/** Share by which the highest tier may exceed the adaptive limit. */
const TOP_TIER_EXCESS = 0.25;
/** Requests beyond its slots that an upstream may be given, by tier. */
const EXCESS_BY_TIER = [4, 2, 1];

/** Whether an upstream may be given one more request of a tier. */
export function hasRoom(
  upstream: Upstream,
  tier: number,
  share: Share,
): boolean {
  const usable = usableShare(tier, share);
  const limit = upstream.condition.limit.value * usable;
  if (upstream.inflight >= Math.max(1, limit)) return false;
  const excess = EXCESS_BY_TIER[tier] ?? 0;
  return loadOf(upstream) < Math.max(1, slotsOf(upstream) * usable) + excess;
}

/** Share of an upstream's capacity open to a tier. */
function usableShare(tier: number, share: Share): number {
  if (tier === 0) return 1 + TOP_TIER_EXCESS;
  if (share === Share.Floor) return 1;
  return 1 - Math.min(RESERVE_LIMIT, RESERVE_PER_TIER * tier);
}
