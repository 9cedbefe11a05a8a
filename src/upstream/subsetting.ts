import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** An instance or an upstream with its zone and region. */
export interface FleetNode {
  name: string;
  zone: string;
  region: string;
}

/**
 * Approximate number of upstreams of its zone that an instance uses if the zone
 * has more.
 */
export const SUBSET_SIZE = 24;

/**
 * Selects the upstreams that instance `self` uses, by rendezvous hashing. Each
 * upstream ranks the instances of its zone (those of its region if its zone has
 * none) and is used by the highest-ranked ones. All upstreams of a zone thus
 * get the same number of instances, and when an instance joins or leaves, only
 * the upstreams it uses are reassigned.
 */
export function selectSubset<Item extends FleetNode>(
  self: FleetNode,
  instances: readonly FleetNode[],
  upstreams: readonly Item[],
): Item[] {
  return [...groupByZone(upstreams).values()].flatMap(zoneUpstreams => {
    const nearest = nearestInstances(instances, zoneUpstreams[0] ?? self);
    if (!nearest.some(({name}) => name === self.name)) return [];
    const instancesPerUpstream = Math.ceil(
      (SUBSET_SIZE * nearest.length) / zoneUpstreams.length,
    );
    if (instancesPerUpstream >= nearest.length) return zoneUpstreams;
    return zoneUpstreams.filter(
      upstream =>
        rendezvousRank(self, nearest, upstream) < instancesPerUpstream,
    );
  });
}

function groupByZone<Item extends FleetNode>(
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

/**
 * Returns the instances in the upstream's zone; if there are none, those in its
 * region; if there are none either, all.
 */
function nearestInstances(
  instances: readonly FleetNode[],
  {zone, region}: FleetNode,
): readonly FleetNode[] {
  const sameZone = instances.filter(instance => instance.zone === zone);
  if (sameZone.length > 0) return sameZone;
  const sameRegion = instances.filter(instance => instance.region === region);
  return sameRegion.length > 0 ? sameRegion : instances;
}

/** Returns how many instances rank above `self` for `upstream`. */
function rendezvousRank(
  self: FleetNode,
  candidates: readonly FleetNode[],
  upstream: FleetNode,
): number {
  const own = rendezvousScore(self, upstream);
  return candidates.filter(instance => {
    const other = rendezvousScore(instance, upstream);
    return other > own || (other === own && instance.name < self.name);
  }).length;
}

function rendezvousScore(instance: FleetNode, upstream: FleetNode): number {
  return hasher.h32(`${instance.name}\n${upstream.name}`);
}
