import xxhash from 'xxhash-wasm';
import type {Peers} from './peers.js';

const hasher = await xxhash();

/**
 * Time for which an instance must have been heard without a gap, or have run, to
 * issue permits while another can, in ms. All notice a return within a part of
 * it, so that nearly all change the issuer together.
 */
const SETTLE_MS = 3_000;
/** Time for which an instance that doesn't answer isn't asked, in ms. */
const SUSPICION_MS = 2_000;
/** Time after which a silent instance counts as gone for good, in ms. */
const GONE_MS = 60_000;

/** Dependencies of [[Issuers]]. */
export interface IssuersParts {
  /** Name of this instance. */
  name: string;
  /** Availability zone of this instance. */
  zone: string;
  peers: Peers;
  /** When this instance started, in monotonic ms. */
  startedAt: number;
  /**
   * Since when each instance is heard that was heard lately, in monotonic ms, by
   * name.
   */
  heardSince(): ReadonlyMap<string, number>;
}

/**
 * Chooses the instance that issues the permits for an upstream: by rendezvous
 * hashing over the instances of the upstream's zone, since those that are cut off
 * from them are mostly cut off from the upstream, too. Instances that see others
 * may choose differently for a moment.
 */
export class Issuers {
  private readonly suspectedAt = new Map<string, number>();
  /** Until when an instance said that it issues nothing, in monotonic ms. */
  private readonly declinedUntil = new Map<string, number>();
  /** When each instance was heard last, or known first, in monotonic ms. */
  private readonly heardAt = new Map<string, number>();
  /** Until when this instance leaves issuing to others, in monotonic ms. */
  private unsettledUntil: number;

  constructor(private readonly parts: IssuersParts) {
    this.unsettledUntil = parts.startedAt + SETTLE_MS;
  }

  /** Notes that an instance doesn't answer. */
  suspect(name: string, now: number): void {
    this.suspectedAt.set(name, now);
  }

  /** Notes that an instance answered. */
  trust(name: string): void {
    this.suspectedAt.delete(name);
  }

  /** Notes that an instance issues no permits until `until`, in monotonic ms. */
  decline(name: string, until: number): void {
    this.declinedUntil.set(name, until);
  }

  /**
   * Leaves issuing to others for a while, as after a stall of this instance, in
   * which others may have begun.
   */
  unsettle(now: number): void {
    this.unsettledUntil = now + SETTLE_MS;
  }

  /** Time for which this instance leaves issuing to others, in ms. */
  unsettledMs(now: number): number {
    return Math.max(0, this.unsettledUntil - now);
  }

  /** The instance that issues the permits of `key`, for an upstream in `zone`. */
  issuerOf(key: string, zone: string, now: number): string {
    const heardSince = this.parts.heardSince();
    const others = this.groups(zone).map(names =>
      names.filter(name => this.isUsable(name, heardSince, now)),
    );
    // Those that it doesn't know well know whom to ask.
    if (this.unsettledMs(now) > 0) {
      return firstBest(key, others) ?? this.parts.name;
    }
    const settled = this.groups(zone).map(names =>
      names.filter(name => this.isSettled(name, heardSince, now)),
    );
    return firstBest(key, settled) ?? this.parts.name;
  }

  /**
   * Share of a rate that this instance may issue. One that hears less than half
   * of the others is cut off from them; they issue permits, too, and go on for a
   * while after its return.
   */
  share(now: number): number {
    const heardSince = this.parts.heardSince();
    let [listed, reached] = [1, 1];
    for (const name of this.groups('').flat()) {
      if (name === this.parts.name || !this.isHeardAlone(name)) continue;
      const isReached = heardSince.has(name);
      const at = isReached ? now : (this.heardAt.get(name) ?? now);
      this.heardAt.set(name, at);
      if (now - at > GONE_MS) continue;
      listed++;
      if (isReached) reached++;
    }
    if (reached * 2 >= listed) return 1;
    this.unsettle(now);
    return reached / listed;
  }

  /** The instances of a zone, and those of all others. */
  private groups(zone: string): string[][] {
    const {peers, name, zone: own} = this.parts;
    const inZone = [...peers.namesIn(zone), ...(zone === own ? [name] : [])];
    const others = [own, ...peers.otherZones()]
      .filter(other => other !== zone)
      .flatMap(other => peers.namesIn(other));
    return [inZone, zone === own ? others : [...others, name]];
  }

  /** Whether another instance can be asked. */
  private isUsable(
    name: string,
    heardSince: ReadonlyMap<string, number>,
    now: number,
  ): boolean {
    if (name === this.parts.name) return false;
    const suspectedAt = this.suspectedAt.get(name) ?? -Infinity;
    if (now - suspectedAt < SUSPICION_MS) return false;
    return !this.isHeardAlone(name) || heardSince.has(name);
  }

  /** Whether an instance issues permits, as far as is known here. */
  private isSettled(
    name: string,
    heardSince: ReadonlyMap<string, number>,
    now: number,
  ): boolean {
    if (name === this.parts.name) return true;
    if (!this.isUsable(name, heardSince, now)) return false;
    const since = heardSince.get(name) ?? -Infinity;
    const declinedUntil = this.declinedUntil.get(name) ?? -Infinity;
    return now >= Math.max(since + SETTLE_MS, declinedUntil);
  }

  /** Whether its messages tell that an instance lives. */
  private isHeardAlone(name: string): boolean {
    const {peers, zone} = this.parts;
    // In a large fleet, other zones are heard of as a whole.
    return peers.areDirect || peers.namesIn(zone).includes(name);
  }
}

/** The best name of the first group that has any. */
function firstBest(
  key: string,
  groups: readonly string[][],
): string | undefined {
  const [first, ...others] = groups.find(({length}) => length > 0) ?? [];
  return others.reduce<string | undefined>(
    (best, name) =>
      best === undefined || score(key, name) > score(key, best) ? name : best,
    first,
  );
}

function score(key: string, name: string): number {
  return hasher.h32(`${key}/${name}`);
}
