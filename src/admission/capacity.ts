import type {Upstream} from '../upstream/index.js';
import {totalInflight, slotsOf} from './latencyestimate.js';

/** Why a request is next to start; decides which reserves it may use. */
export enum StartReason {
  /** It is first in queue order. */
  QueueOrder = 'order',
  /** Its class has earned the start by its guaranteed share of service. */
  Floor = 'floor',
}

/** Share of the slots that each tier leaves free for the tiers above it. */
const RESERVED_SHARE_PER_TIER = 0.08;
const MAX_RESERVED_SHARE = 0.25;

/**
 * Whether an upstream has capacity for one more request of a tier. An instance
 * may always use an equal share of the slots, and more while the estimated
 * total of all instances leaves slots free. Slots that higher tiers used
 * recently stay reserved for them, unless the request starts by a floor. The
 * adaptive concurrency limit bounds all of this, but one attempt per instance
 * is always allowed.
 */
export function hasCapacity(
  upstream: Upstream,
  tier: number,
  reason: StartReason,
  instances: number,
  now: number,
): boolean {
  const openShare = usableShare(tier, reason);
  const {inflight, observed: condition} = upstream;
  if (inflight === 0) return true;
  if (inflight >= condition.concurrencyLimit.value) return false;
  const exempt = tier === 0 || reason === StartReason.Floor;
  const slots = slotsOf(upstream);
  const reservedSlots = exempt
    ? 0
    : condition.tierUsage.reservedSlots(tier, now);
  const ownSlots = Math.floor((slots * openShare) / instances - reservedSlots);
  const totalSlots = Math.floor(slots * openShare - reservedSlots);
  return inflight < ownSlots || totalInflight(upstream) < totalSlots;
}

/** Share of an upstream's slots that a tier may use. */
function usableShare(tier: number, reason: StartReason): number {
  if (reason === StartReason.Floor) return 1;
  return 1 - Math.min(MAX_RESERVED_SHARE, RESERVED_SHARE_PER_TIER * tier);
}
