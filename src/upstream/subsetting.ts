import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** An instance or an upstream at a place. */
export interface FleetNode {
  name: string;
  zone: string;
  region: string;
}

/** Upstreams of its zone an instance works with, when there are many. */
export const SUBSET_SIZE = 24;

/**
 * Chooses which upstreams near an instance it works with. Every upstream ranks
 * the instances of its zone (of its region, where its zone has none) by
 * rendezvous hashing and is taken by the first few. So all upstreams of a zone
 * have the same number of instances, and when an instance comes or goes, only
 * the upstreams that it takes move.
 */
export function selectSubset<Item extends FleetNode>(
  self: FleetNode,
  instances: readonly FleetNode[],
  upstreams: readonly Item[],
): Item[] {
  return [...byZone(upstreams).values()].flatMap(group => {
    const near = nearestInstances(instances, group[0] ?? self);
    if (!near.some(({name}) => name === self.name)) return [];
    const takers = Math.ceil((SUBSET_SIZE * near.length) / group.length);
    if (takers >= near.length) return group;
    return group.filter(upstream => rankOf(self, near, upstream) < takers);
  });
}

function byZone<Item extends FleetNode>(
  upstreams: readonly Item[],
): Map<string, Item[]> {
  const groups = new Map<string, Item[]>();
  for (const upstream of upstreams) {
    const group = groups.get(upstream.zone);
    if (group === undefined) groups.set(upstream.zone, [upstream]);
    else group.push(upstream);
  }
  return groups;
}

/** Instances of the upstream's zone, else of its region, else all. */
function nearestInstances(
  instances: readonly FleetNode[],
  {zone, region}: FleetNode,
): readonly FleetNode[] {
  const sameZone = instances.filter(instance => instance.zone === zone);
  if (sameZone.length > 0) return sameZone;
  const sameRegion = instances.filter(instance => instance.region === region);
  return sameRegion.length > 0 ? sameRegion : instances;
}

/** Number of instances that `upstream` prefers to `self`. */
function rankOf(
  self: FleetNode,
  near: readonly FleetNode[],
  upstream: FleetNode,
): number {
  const own = score(self, upstream);
  return near.filter(instance => {
    const other = score(instance, upstream);
    return other > own || (other === own && instance.name < self.name);
  }).length;
}

function score(instance: FleetNode, upstream: FleetNode): number {
  return hasher.h32(`${instance.name}\n${upstream.name}`);
}
