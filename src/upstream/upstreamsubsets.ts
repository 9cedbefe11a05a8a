import type {Demand} from '../request/work.js';
import {Distance, type Topology} from '../zone/index.js';
import type {Directory} from './directory.js';
import {Ring} from './hashring.js';
import {SUBSET_SIZE, subsetOf, type Located} from './subsetting.js';
import type {Upstream} from './upstream.js';

/** Upstreams outside its own zone that an instance adds to its subset. */
const REGION_SIZE = 8;
const REMOTE_SIZE = 6;

/** The upstreams an instance may choose from for one kind of demand. */
export interface Vicinity {
  /** Upstreams in this region, all of them or a subset. */
  home: readonly Upstream[];
  /** Upstreams in other regions. */
  remote: readonly Upstream[];
  /** Agreed places of prefixes among the home upstreams. */
  ring: Ring;
}

/** Key of a demand; demands with the same key have the same upstreams. */
export function demandKey(demand: Demand): string {
  return demand.type === 'generation'
    ? `model/${demand.model}:${demand.adapter ?? ''}`
    : `service/${demand.service}`;
}

/** What a vicinity depends on besides the directory. */
export interface Surroundings {
  topology: Topology;
  self: Located;
  instances: readonly Located[];
}

/**
 * Keeps the vicinity of each kind of demand, and computes it again when the
 * directory or the surroundings change.
 */
export class Vicinities {
  private readonly known = new Map<string, Vicinity>();
  private version = -1;
  private around?: Surroundings;

  constructor(private readonly directory: Directory) {}

  /** Follows a change of the fleet or of the configured places. */
  apply(surroundings: Surroundings): void {
    this.around = surroundings;
    this.known.clear();
  }

  of(demand: Demand): Vicinity | undefined {
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
  members(): Set<Upstream> {
    const members = new Set<Upstream>();
    for (const {home, remote} of this.known.values()) {
      for (const upstream of [...home, ...remote]) members.add(upstream);
    }
    return members;
  }

  private compute(demand: Demand, around: Surroundings): Vicinity {
    const all = this.directory.serving(demand);
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
    const ring = new Ring(home.map(({name}) => name));
    return {home, remote: sample(around, remote, REMOTE_SIZE), ring};
  }
}

function subset(
  {self, instances, topology}: Surroundings,
  upstreams: readonly Upstream[],
): Upstream[] {
  const located = upstreams.map(upstream => ({
    name: upstream.name,
    zone: upstream.zone,
    region: topology.regionOf(upstream.zone),
    upstream,
  }));
  return subsetOf(self, instances, located).map(({upstream}) => upstream);
}

/** A few upstreams that differ between instances but stay over time. */
function sample(
  {self}: Surroundings,
  upstreams: readonly Upstream[],
  size: number,
): Upstream[] {
  if (upstreams.length <= size) return [...upstreams];
  const ring = new Ring(upstreams.map(({name}) => name));
  const chosen = new Set(ring.lookup(self.name, size));
  return upstreams.filter(({name}) => chosen.has(name));
}

function union<Item>(a: readonly Item[], b: readonly Item[]): Item[] {
  return [...new Set([...a, ...b])];
}
