/** Time for which a peer that could not relay is not asked again, in ms. */
const BACKOFF_MS = 1_000;
/** Peers that are asked for one connection at the most. */
const MAX_CHOICES = 3;
/**
 * Relayed connections by which another region counts as more loaded. The way
 * there takes longer, but a single neighbour must not carry a whole zone.
 */
const OTHER_REGION_PENALTY = 8;

/** Another instance that may relay connections. */
export interface RelayPeer {
  host: string;
  port: number;
  /** Availability zone; earlier builds don't publish it. */
  zone?: string | undefined;
}

/** Chooses the peers that are asked to relay a connection. */
export class RelayChoice {
  /** Until when a peer is not asked, in monotonic ms. */
  private readonly avoidedUntil = new Map<string, number>();
  /** Open connections through each peer. */
  private readonly open = new Map<string, number>();

  constructor(
    /** Region of an availability zone. */
    private readonly regionOf: (zone: string) => string | undefined,
    private readonly zone: string,
    /** Returns a random number in [0, 1). */
    private readonly random: () => number,
  ) {}

  /**
   * The peers to ask, in order: the least used first, and the others from other
   * zones than those before, since a zone may be cut off as a whole.
   */
  choose(peers: Iterable<RelayPeer>, now: number): RelayPeer[] {
    const able = [...peers]
      .filter(peer => (this.avoidedUntil.get(keyOf(peer)) ?? 0) <= now)
      .map(peer => ({peer, cost: this.costOf(peer) + this.random()}))
      .sort((a, b) => a.cost - b.cost);
    const chosen: RelayPeer[] = [];
    while (chosen.length < MAX_CHOICES && able.length > 0) {
      const zones = new Set(chosen.map(({zone}) => zone));
      const index = able.findIndex(({peer}) => !zones.has(peer.zone));
      const [next] = able.splice(Math.max(0, index), 1);
      if (next !== undefined) chosen.push(next.peer);
    }
    return chosen;
  }

  noteFailure(peer: RelayPeer, now: number): void {
    this.avoidedUntil.set(keyOf(peer), now + BACKOFF_MS);
  }

  noteOpened(peer: RelayPeer): void {
    this.avoidedUntil.delete(keyOf(peer));
    this.change(peer, 1);
  }

  noteClosed(peer: RelayPeer): void {
    this.change(peer, -1);
  }

  private costOf(peer: RelayPeer): number {
    const isNear =
      peer.zone !== undefined &&
      this.regionOf(peer.zone) === this.regionOf(this.zone);
    const open = this.open.get(keyOf(peer)) ?? 0;
    return open + (isNear ? 0 : OTHER_REGION_PENALTY);
  }

  private change(peer: RelayPeer, by: 1 | -1): void {
    const key = keyOf(peer);
    const open = (this.open.get(key) ?? 0) + by;
    if (open > 0) this.open.set(key, open);
    else this.open.delete(key);
  }
}

function keyOf({host, port}: RelayPeer): string {
  return `${host}:${port}`;
}
