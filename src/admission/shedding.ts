import {MemberState, type Membership} from '../instance/member.js';

/** How long a tier counts as shed after the last call of `announce`. */
const SHED_HOLD_MS = 2_000;
/** Upper bound of the time until gossip has reached every instance. */
const GOSSIP_DELAY_MS = 2_000;
/** Minimum time between two reads of the tiers that peers shed. */
const PEER_CHECK_INTERVAL_MS = 50;
/** Lower than every tier: nothing is shed. */
const NO_TIER = Number.POSITIVE_INFINITY;

/**
 * Coordinates load shedding across instances, so that none sheds a tier while
 * another still starts lower ones. An instance that has to shed a tier first
 * announces it by gossip, and sheds only after every peer must have received
 * it. Until the announcement expires, no instance starts requests of lower
 * tiers, except those that a floor guarantees. Tier 0 is the highest.
 */
export class SheddingCoordinator {
  /** Highest tier that this instance has announced. */
  private ownTier = NO_TIER;
  private ownTierSince = -Infinity;
  /** When `announce` was last called, for any tier. */
  private noticedAt = -Infinity;
  /** Highest tier that a live member sheds, as of `peersCheckedAt`. */
  private peersTier = NO_TIER;
  private peersCheckedAt = -Infinity;

  constructor(private readonly membership: Membership) {}

  /** Tells peers that this instance is about to shed requests of `tier`. */
  announce(tier: number, now: number): void {
    this.expire(now);
    this.noticedAt = now;
    if (tier >= this.ownTier) return;
    this.ownTier = tier;
    this.ownTierSince = now;
    this.membership.updateStatus({shedTier: tier});
  }

  /**
   * Whether peers must have received that this instance sheds `tier`. True if
   * there are no peers.
   */
  hasPropagated(tier: number, now: number): boolean {
    if (this.membership.live().length <= 1) return true;
    return this.ownTier <= tier && now - this.ownTierSince >= GOSSIP_DELAY_MS;
  }

  /**
   * Highest tier that any instance sheds, or infinity if none does. Requests
   * of lower tiers must not be started.
   */
  highestShedTier(now: number): number {
    this.expire(now);
    if (now - this.peersCheckedAt >= PEER_CHECK_INTERVAL_MS) {
      this.peersCheckedAt = now;
      this.peersTier = this.highestTierShedByPeers();
    }
    return Math.min(this.ownTier, this.peersTier);
  }

  private highestTierShedByPeers(): number {
    let highest = NO_TIER;
    for (const {state, status} of this.membership.live()) {
      if (state !== MemberState.Alive) continue;
      highest = Math.min(highest, status.shedTier ?? NO_TIER);
    }
    return highest;
  }

  /** Withdraws an announcement that was not repeated for `SHED_HOLD_MS`. */
  private expire(now: number): void {
    if (this.ownTier === NO_TIER || now - this.noticedAt < SHED_HOLD_MS) return;
    this.ownTier = NO_TIER;
    this.membership.updateStatus({shedTier: undefined});
  }
}
