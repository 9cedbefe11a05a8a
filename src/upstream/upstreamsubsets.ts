import type {Demand} from '../request/work.js';
import {Distance, type Topology} from '../zone/index.js';
import type {Directory} from './directory.js';
import {HashRing} from './hashring.js';
import {SUBSET_SIZE, selectSubset, type FleetNode} from './subsetting.js';
import type {Upstream} from './upstream.js';

/** Upstreams outside its own zone that an instance adds to its subset. */
const REGION_SIZE = 8;
const REMOTE_SIZE = 6;

/** The upstreams an instance may choose from for one kind of demand. */
export interface UpstreamSubset {
  /** Upstreams in this region, all of them or a subset. */
  inRegion: readonly Upstream[];
  /** Upstreams in other regions. */
  remote: readonly Upstream[];
  /** Agreed places of prefixes among the home upstreams. */
  ring: HashRing;
}

/** Key of a demand; demands with the same key have the same upstreams. */
export function demandKey(demand: Demand): string {
  return demand.type === 'generation'
    ? `model/${demand.model}:${demand.adapter ?? ''}`
    : `service/${demand.service}`;
}

/** What a vicinity depends on besides the directory. */
export interface SubsetContext {
  topology: Topology;
  self: FleetNode;
  instances: readonly FleetNode[];
}

/**
 * Keeps the vicinity of each kind of demand, and computes it again when the
 * directory or the surroundings change.
 */
export class UpstreamSubsets {
  private readonly known = new Map<string, UpstreamSubset>();
  private version = -1;
  private around?: SubsetContext;

  constructor(private readonly directory: Directory) {}

  /** Follows a change of the fleet or of the configured places. */
  apply(surroundings: SubsetContext): void {
    this.around = surroundings;
    this.known.clear();
  }

  forDemand(demand: Demand): UpstreamSubset | undefined {
    if (this.version !== this.directory.version) {
      this.version = this.directory.version;
      this.known.clear();
    }
    if (this.around === undefined) return undefined;
    const key = demandKey(demand);
    const known = this.known.get(key);
    if (known !== undefined) return known;
    const vicinity = this.compute(demand, this.around);
    this.known.set(key, vicinity);
    return vicinity;
  }

  /** Every upstream in any vicinity that was asked for, each once. */
  allUpstreams(): Set<Upstream> {
    const members = new Set<Upstream>();
    for (const {inRegion: home, remote} of this.known.values()) {
      for (const upstream of [...home, ...remote]) members.add(upstream);
    }
    return members;
  }

  private compute(demand: Demand, around: SubsetContext): UpstreamSubset {
    const all = this.directory.upstreamsFor(demand);
    const at = (...distances: Distance[]) =>
      all.filter(({zone}) =>
        distances.includes(around.topology.routeTo(zone).distance),
      );
    const region = at(Distance.SameZone, Distance.SameRegion);
    const remote = at(Distance.Remote);
    const home =
      region.length <= SUBSET_SIZE
        ? region
        : union(
            subset(around, at(Distance.SameZone)),
            sample(around, at(Distance.SameRegion), REGION_SIZE),
          );
    const ring = new HashRing(home.map(({name}) => name));
    return {inRegion: home, remote: sample(around, remote, REMOTE_SIZE), ring};
  }
}

function subset(
  {self, instances, topology}: SubsetContext,
  upstreams: readonly Upstream[],
): Upstream[] {
  const located = upstreams.map(upstream => ({
    name: upstream.name,
    zone: upstream.zone,
    region: topology.regionOf(upstream.zone),
    upstream,
  }));
  return selectSubset(self, instances, located).map(({upstream}) => upstream);
}

/** A few upstreams that differ between instances but stay over time. */
function sample(
  {self}: SubsetContext,
  upstreams: readonly Upstream[],
  size: number,
): Upstream[] {
  if (upstreams.length <= size) return [...upstreams];
  const ring = new HashRing(upstreams.map(({name}) => name));
  const chosen = new Set(ring.lookup(self.name, size));
  return upstreams.filter(({name}) => chosen.has(name));
}

function union<Item>(a: readonly Item[], b: readonly Item[]): Item[] {
  return [...new Set([...a, ...b])];
}
