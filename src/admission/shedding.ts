import {MemberState, type Membership} from '../instance/member.js';

/** How long a tier counts as shed after it was last shed or about to be. */
const PRESSURE_HOLD_MS = 2_000;
/** Time that gossip takes to reach every instance, with a margin. */
const SETTLE_MS = 2_000;
/** Time between two looks at what peers shed. */
const LOOK_INTERVAL_MS = 50;
const NO_TIER = Number.POSITIVE_INFINITY;

/**
 * Keeps the order of tiers across instances. An instance that has to shed a
 * tier tells its peers first, and sheds only once they must have heard. Peers
 * that hear of it start nothing of lower tiers meanwhile, but for floors.
 */
export class SheddingCoordinator {
  private tier = NO_TIER;
  private since = -Infinity;
  private seenAt = -Infinity;
  /** Highest tier that peers shed, and when they were last looked at. */
  private peersTier = NO_TIER;
  private lookedAt = -Infinity;

  constructor(private readonly membership: Membership) {}

  /** Notes that requests of `tier` are about to be shed here. */
  announce(tier: number, now: number): void {
    this.expire(now);
    this.seenAt = now;
    if (tier >= this.tier) return;
    this.tier = tier;
    this.since = now;
    this.membership.updateStatus({shedTier: tier});
  }

  /** Whether peers have had the time to hold back tiers below `tier`. */
  hasPropagated(tier: number, now: number): boolean {
    if (this.membership.live().length <= 1) return true;
    return this.tier <= tier && now - this.since >= SETTLE_MS;
  }

  /** Highest tier that an instance of the fleet sheds; tiers below wait. */
  highestShedTier(now: number): number {
    this.expire(now);
    if (now - this.lookedAt >= LOOK_INTERVAL_MS) {
      this.lookedAt = now;
      this.peersTier = this.lookAtPeers();
    }
    return Math.min(this.tier, this.peersTier);
  }

  private lookAtPeers(): number {
    let highest = NO_TIER;
    for (const {state, status} of this.membership.live()) {
      if (state !== MemberState.Alive) continue;
      highest = Math.min(highest, status.shedTier ?? NO_TIER);
    }
    return highest;
  }

  private expire(now: number): void {
    if (this.tier === NO_TIER || now - this.seenAt < PRESSURE_HOLD_MS) return;
    this.tier = NO_TIER;
    this.membership.updateStatus({shedTier: undefined});
  }
}
