import xxhash from 'xxhash-wasm';
import type {Peers} from './peers.js';

const hasher = await xxhash();

/**
 * Time from its start in which an instance issues no permits while others can,
 * in ms: it doesn't know yet who else does.
 */
const STARTUP_MS = 3_000;
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
  /** Names of the instances that were heard lately. */
  heard(): ReadonlySet<string>;
}

/**
 * Chooses the instance that issues the permits for an upstream: by rendezvous
 * hashing over the instances of the upstream's zone, since those that are cut off
 * from them are mostly cut off from the upstream, too. Instances that see others
 * may choose differently for a moment.
 */
export class Issuers {
  private readonly suspectedAt = new Map<string, number>();
  /** When each instance was heard last, or known first, in monotonic ms. */
  private readonly heardAt = new Map<string, number>();

  constructor(private readonly parts: IssuersParts) {}

  /** Notes that an instance doesn't answer. */
  suspect(name: string, now: number): void {
    this.suspectedAt.set(name, now);
  }

  /** Notes that an instance answered. */
  trust(name: string): void {
    this.suspectedAt.delete(name);
  }

  /** The instance that issues the permits of `key`, for an upstream in `zone`. */
  issuerOf(key: string, zone: string, now: number): string {
    const {name, startedAt} = this.parts;
    const isYoung = now - startedAt < STARTUP_MS;
    const others = this.candidates(zone).filter(
      other => other !== name && this.isUsable(other, now),
    );
    const mayIssue =
      this.candidates(zone).includes(name) && !(isYoung && others.length > 0);
    const usable = mayIssue ? [...others, name] : others;
    let [best = name] = usable;
    for (const other of usable) {
      if (score(key, other) > score(key, best)) best = other;
    }
    return best;
  }

  /**
   * Share of a rate that this instance may issue. An instance that hears less
   * than half of those that may issue with it is cut off; others issue, too.
   */
  share(zone: string, now: number): number {
    const heard = this.parts.heard();
    let [listed, reached] = [0, 0];
    for (const other of this.candidates(zone)) {
      if (other !== this.parts.name && !this.isHeardAlone(other)) continue;
      const isReached = other === this.parts.name || heard.has(other);
      const at = isReached ? now : (this.heardAt.get(other) ?? now);
      this.heardAt.set(other, at);
      if (now - at > GONE_MS) continue;
      listed++;
      if (isReached) reached++;
    }
    return reached * 2 >= listed ? 1 : reached / listed;
  }

  /** Instances of a zone; all if it has none. */
  private candidates(zone: string): readonly string[] {
    const {peers, name, zone: own} = this.parts;
    const names = peers.namesIn(zone);
    if (zone === own) return [...names, name];
    if (names.length > 0) return names;
    const zones = [own, ...peers.otherZones()];
    return [...zones.flatMap(other => peers.namesIn(other)), name];
  }

  private isUsable(name: string, now: number): boolean {
    const suspectedAt = this.suspectedAt.get(name) ?? -Infinity;
    if (now - suspectedAt < SUSPICION_MS) return false;
    return !this.isHeardAlone(name) || this.parts.heard().has(name);
  }

  /** Whether its messages tell that an instance lives. */
  private isHeardAlone(name: string): boolean {
    const {peers, zone} = this.parts;
    // In a large fleet, other zones are heard of as a whole.
    return peers.areDirect || peers.namesIn(zone).includes(name);
  }
}

function score(key: string, name: string): number {
  return hasher.h32(`${key}/${name}`);
}
