import type {Upstream} from '../upstream/index.js';
import {totalInflight, slotsOf} from './latencyestimate.js';

/** On which account a request takes a slot. */
export enum StartReason {
  /** In the order of the queue. */
  QueueOrder = 'order',
  /** Owed to its class by its floor. */
  Floor = 'floor',
}

/** Share of the capacity that each tier leaves free for the tiers above. */
const RESERVE_PER_TIER = 0.08;
const RESERVE_LIMIT = 0.25;
/**
 * Whether an upstream may be given one more request of a tier. Each instance
 * has an equal share of the slots for itself, and borrows from the others'
 * shares while the upstream reports free slots. Slots that higher tiers used
 * lately are kept free for them. The adaptive limit bounds both.
 */
export function hasCapacity(
  upstream: Upstream,
  tier: number,
  share: StartReason,
  instances: number,
  now: number,
): boolean {
  const usable = usableShare(tier, share);
  const {inflight, observed: condition} = upstream;
  if (inflight === 0) return true;
  if (inflight >= condition.concurrencyLimit.value) return false;
  const first = tier === 0 || share === StartReason.Floor;
  const slots = slotsOf(upstream);
  const kept = first ? 0 : condition.tierUsage.reservedSlots(tier, now);
  const own = Math.floor((slots * usable) / instances - kept);
  const all = Math.floor(slots * usable - kept);
  return inflight < own || totalInflight(upstream) < all;
}

/** Share of an upstream's capacity open to a tier. */
function usableShare(tier: number, share: StartReason): number {
  if (share === StartReason.Floor) return 1;
  return 1 - Math.min(RESERVE_LIMIT, RESERVE_PER_TIER * tier);
}
