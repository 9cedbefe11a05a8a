import xxhash from 'xxhash-wasm';
import type {Peers} from '../fleet/index.js';

const hasher = await xxhash();

/** Name and availability zone of this instance. */
interface Self {
  name: string;
  zone: string;
}

/** Instances that keep the origin of a stream, in a fleet that relays. */
const HOLDERS = 3;
/** Further ones to ask, as instances may differ on who the others are. */
const FALLBACKS = 3;

/**
 * Names of the other instances that keep the origin of a stream: in a small
 * fleet all of them, in others the first ones by rank.
 */
export function holdersOf(key: string, peers: Peers, self: Self): string[] {
  return othersOf(key, peers, self, HOLDERS);
}

/** The holders, and others that may be if instances see different fleets. */
export function holdersToAsk(key: string, peers: Peers, self: Self): string[] {
  return othersOf(key, peers, self, HOLDERS + FALLBACKS);
}

/** Whether other instances tell this one of a stream that they begin. */
export function isHolder(key: string, peers: Peers, self: Self): boolean {
  return peers.areDirect || rank(key, peers, self, HOLDERS).includes(self.name);
}

function othersOf(
  key: string,
  peers: Peers,
  self: Self,
  count: number,
): string[] {
  const names = peers.areDirect
    ? [self.zone, ...peers.otherZones()].flatMap(zone => peers.namesIn(zone))
    : rank(key, peers, self, count);
  return names.filter(name => name !== self.name);
}

/**
 * The first instances by rendezvous hashing in the zone where the stream's score
 * is highest, and in others, so that they don't fail together.
 */
function rank(key: string, peers: Peers, self: Self, count: number): string[] {
  const zones = rankBy(key, [...new Set([self.zone, ...peers.otherZones()])]);
  const byZone = zones.map(zone => {
    const inZone = peers.namesIn(zone);
    return rankBy(key, zone === self.zone ? [...inZone, self.name] : inZone);
  });
  const size = byZone.reduce((sum, names) => sum + names.length, 0);
  const first: string[] = [];
  for (let turn = 0; first.length < Math.min(count, size); turn++) {
    first.push(...byZone.flatMap(names => names[turn] ?? []));
  }
  return first.slice(0, count);
}

function rankBy(key: string, names: readonly string[]): string[] {
  const scores = names.map(name => ({
    name,
    score: hasher.h32(`${key}/${name}`),
  }));
  scores.sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1));
  return scores.map(({name}) => name);
}
