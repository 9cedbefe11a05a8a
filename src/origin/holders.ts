import xxhash from 'xxhash-wasm';
import type {Peers} from '../fleet/index.js';

const hasher = await xxhash();

/** Instances that keep the origin of a stream, in a fleet that relays. */
const HOLDERS = 3;
/** Further ones to ask, as instances may differ on who the others are. */
const FALLBACKS = 3;

/**
 * Names of the instances that keep the origin of a stream: the first ones by
 * rendezvous hashing in the zone where the stream's score is highest, and in
 * others, so that they don't fail together. In a small fleet, all other
 * instances. `count`: how many.
 */
export function holdersOf(
  key: string,
  peers: Peers,
  self: {name: string; zone: string},
  count = HOLDERS,
): string[] {
  const zones = [...new Set([self.zone, ...peers.otherZones()])];
  const names = zones.flatMap(zone => [
    ...peers.namesIn(zone),
    ...(zone === self.zone ? [self.name] : []),
  ]);
  if (peers.areDirect) return names.filter(name => name !== self.name);
  const byZone = rankBy(key, zones).map(zone => {
    const inZone = peers.namesIn(zone);
    return rankBy(key, zone === self.zone ? [...inZone, self.name] : inZone);
  });
  const holders: string[] = [];
  for (let turn = 0; holders.length < Math.min(count, names.length); turn++) {
    holders.push(...byZone.flatMap(ranked => ranked[turn] ?? []));
  }
  return holders.slice(0, count).filter(name => name !== self.name);
}

/** The holders, and others that may be if instances see different fleets. */
export function holdersToAsk(
  key: string,
  peers: Peers,
  self: {name: string; zone: string},
): string[] {
  return holdersOf(key, peers, self, HOLDERS + FALLBACKS);
}

function rankBy(key: string, names: readonly string[]): string[] {
  const scores = names.map(name => ({
    name,
    score: hasher.h32(`${key}/${name}`),
  }));
  scores.sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1));
  return scores.map(({name}) => name);
}
