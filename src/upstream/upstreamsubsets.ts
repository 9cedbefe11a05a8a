import type {Demand} from '../request/work.js';
import {Distance, type Topology} from '../zone/index.js';
import type {Directory} from './directory.js';
import {HashRing} from './hashring.js';
import {SUBSET_SIZE, selectSubset, type FleetNode} from './subsetting.js';
import type {Upstream} from './upstream.js';

/** Upstreams sampled from the other zones of the instance's region. */
const SAME_REGION_SAMPLE_SIZE = 8;
/** Upstreams sampled from other regions. */
const REMOTE_SAMPLE_SIZE = 6;

/** The upstreams that an instance may choose from for a model or service. */
export interface UpstreamSubset {
  /** Upstreams in this region: all of them, or a subset if there are many. */
  inRegion: readonly Upstream[];
  /** A sample of the upstreams in other regions. */
  remote: readonly Upstream[];
  /**
   * Assigns prompt prefixes to the upstreams in this region, so that instances
   * send a prefix to the same upstream and reuse its prefix cache.
   */
  ring: HashRing;
}

/**
 * Returns the key of a demand: its model and adapter, or its service. Demands
 * with the same key are served by the same upstreams.
 */
export function demandKey(demand: Demand): string {
  return demand.type === 'generation'
    ? `model/${demand.model}:${demand.adapter ?? ''}`
    : `service/${demand.service}`;
}

/** Inputs of subset selection besides the upstream directory. */
export interface SubsetContext {
  topology: Topology;
  /** This instance. */
  self: FleetNode;
  /** All live instances, this one included. */
  instances: readonly FleetNode[];
}

/**
 * Caches the upstream subset of each model and service, and recomputes it when
 * the upstream directory, the fleet or the topology changes.
 */
export class UpstreamSubsets {
  private readonly subsets = new Map<string, UpstreamSubset>();
  private directoryVersion = -1;
  private context?: SubsetContext;

  constructor(private readonly directory: Directory) {}

  /** Applies a change of the live instances or of the topology. */
  apply(context: SubsetContext): void {
    this.context = context;
    this.subsets.clear();
  }

  /** Returns the subset for a demand; undefined before the first `apply`. */
  forDemand(demand: Demand): UpstreamSubset | undefined {
    if (this.directoryVersion !== this.directory.version) {
      this.directoryVersion = this.directory.version;
      this.subsets.clear();
    }
    if (this.context === undefined) return undefined;
    const key = demandKey(demand);
    const cached = this.subsets.get(key);
    if (cached !== undefined) return cached;
    const subset = this.compute(demand, this.context);
    this.subsets.set(key, subset);
    return subset;
  }

  /** Returns the union of all subsets computed since the last change. */
  allUpstreams(): Set<Upstream> {
    const upstreams = new Set<Upstream>();
    for (const {inRegion, remote} of this.subsets.values()) {
      for (const upstream of [...inRegion, ...remote]) upstreams.add(upstream);
    }
    return upstreams;
  }

  private compute(demand: Demand, context: SubsetContext): UpstreamSubset {
    const serving = this.directory.upstreamsFor(demand);
    const atDistance = (...distances: Distance[]) =>
      serving.filter(({zone}) =>
        distances.includes(context.topology.routeTo(zone).distance),
      );
    const regional = atDistance(Distance.SameZone, Distance.SameRegion);
    const remote = atDistance(Distance.Remote);
    const inRegion =
      regional.length <= SUBSET_SIZE
        ? regional
        : union(
            selectZoneSubset(context, atDistance(Distance.SameZone)),
            stableSample(
              context,
              atDistance(Distance.SameRegion),
              SAME_REGION_SAMPLE_SIZE,
            ),
          );
    const ring = new HashRing(inRegion.map(({name}) => name));
    return {
      inRegion,
      remote: stableSample(context, remote, REMOTE_SAMPLE_SIZE),
      ring,
    };
  }
}

/** Selects this instance's share of the upstreams of its own zone. */
function selectZoneSubset(
  {self, instances, topology}: SubsetContext,
  upstreams: readonly Upstream[],
): Upstream[] {
  const nodes = upstreams.map(upstream => ({
    name: upstream.name,
    zone: upstream.zone,
    region: topology.regionOf(upstream.zone),
    upstream,
  }));
  return selectSubset(self, instances, nodes).map(({upstream}) => upstream);
}

/**
 * Returns at most `size` upstreams, chosen by consistent hashing of the
 * instance name: the sample differs between instances but is stable over time.
 */
function stableSample(
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
