import type {CandidateUpstream} from '../telemetry/index.js';
import type {Timer} from '../timer/index.js';
import {
  HealthState,
  hasModelLoaded,
  takesWork,
  type Upstream,
  type UpstreamSubsets,
  type UpstreamSubset,
} from '../upstream/index.js';
import {Distance, type LinkBudgets, type Topology} from '../zone/index.js';
import {prefixKey, tierOf, type QueueEntry} from './queueentry.js';
import {selectionCostMs, assumeCachedOnOwner} from './cost.js';
import {estimateLatency, type LatencyEstimate} from './latencyestimate.js';
import {hasCapacity, type StartReason} from './capacity.js';

/** Number of upstreams above which only a sample is evaluated. */
const MAX_UPSTREAMS_WITHOUT_SAMPLING = 12;
/** Upstreams sampled from the consistent-hash ring, by prefix. */
const SAMPLED_PREFIX_OWNERS = 2;
/** Upstreams sampled at random besides those. */
const SAMPLED_AT_RANDOM = 6;
/** Bounds the candidates in the decision record of a request. */
const MAX_RECORDED_CANDIDATES = 4;
/** Random share added to scores, so that instances don't all pick the same. */
const SCORE_JITTER_SHARE = 0.1;
/**
 * Time to its latest start from which a request waits while another computes
 * its prefix.
 */
const MIN_SLACK_TO_AWAIT_PREFIX_MS = 2_000;
/** Cached share of a prompt from which it does not wait for its prefix. */
const SUFFICIENT_CACHED_SHARE = 0.4;
/**
 * Time to its latest start from which a request rather waits for a slot in its
 * region than crosses a paid link.
 */
const MIN_SLACK_TO_STAY_IN_REGION_MS = 150;
/** Estimated size of a streamed answer per token. */
export const STREAMED_BYTES_PER_TOKEN = 230;
/** Estimated size of a request without its body. */
export const REQUEST_OVERHEAD_BYTES = 400;

/** The upstream selected for a request, and its latency estimate. */
export interface UpstreamSelection extends LatencyEstimate {
  /** Fastest candidates by estimated time to the first token, fastest first. */
  weighed: CandidateUpstream[];
}

/** Numbers of live instances, this one included. */
export interface InstanceCounts {
  /** In the whole fleet. */
  inFleet(): number;
  /** In this instance's region. */
  inRegion(): number;
}

/** Dependencies of an [[UpstreamSelector]]. */
export interface UpstreamSelectorDependencies {
  instances: InstanceCounts;
  vicinities: UpstreamSubsets;
  topology: Topology;
  linkBudgets: LinkBudgets;
  timer: Timer;
  /** Returns a random number in [0, 1). */
  random: () => number;
}

/**
 * Selects an upstream for a request by estimated latency, which depends on the
 * upstream's load, prefix cache, speed and network distance, and by the delay
 * caused to other requests. Upstreams in other regions are considered only if
 * the best in this region has no capacity or would miss the target.
 */
export class UpstreamSelector {
  constructor(private readonly deps: UpstreamSelectorDependencies) {}

  /** Replaces the topology after a change of the configuration or fleet. */
  setTopology(topology: Topology): void {
    this.deps.topology = topology;
  }

  /** Whether any upstream takes requests for the model or service. */
  hasUpstream(entry: QueueEntry): boolean {
    const vicinity = this.deps.vicinities.forDemand(entry.work.demand);
    if (vicinity === undefined) return false;
    return vicinity.inRegion.some(takesWork) || vicinity.remote.some(takesWork);
  }

  /** Returns an upstream with capacity; undefined if the request must wait. */
  select(
    entry: QueueEntry,
    answerTokens: number,
    reason: StartReason,
  ): UpstreamSelection | undefined {
    const vicinity = this.deps.vicinities.forDemand(entry.work.demand);
    if (vicinity === undefined) return undefined;
    const regional = this.eligible(vicinity.inRegion, entry);
    const candidates = this.sampleCandidates(regional, vicinity, entry);
    const estimates = this.estimateAll(
      candidates,
      entry,
      answerTokens,
      vicinity,
    );
    if (this.shouldAwaitPrefix(estimates, entry)) return undefined;
    const best = this.cheapest(estimates, entry, reason);
    if (best !== undefined && !this.missesTarget(best, entry)) {
      return this.toSelection(best, estimates);
    }
    const remote = this.selectRemote(
      vicinity,
      entry,
      answerTokens,
      regional,
      reason,
    );
    if (
      remote !== undefined &&
      (best === undefined || isFaster(remote, best))
    ) {
      return this.toSelection(remote, [...estimates, remote]);
    }
    return best === undefined ? undefined : this.toSelection(best, estimates);
  }

  /**
   * Upstreams that take work. Of these it prefers those that have the model
   * loaded, then those that are healthy, then those not tried before; each
   * preference is dropped if no upstream satisfies it.
   */
  private eligible(
    upstreams: readonly Upstream[],
    entry: QueueEntry,
  ): Upstream[] {
    const now = this.deps.timer.now();
    const accepting = upstreams.filter(takesWork);
    const withModel = accepting.filter(upstream =>
      hasModelLoaded(upstream, entry.work.demand),
    );
    const preferred = withModel.length > 0 ? withModel : accepting;
    const healthy = preferred.filter(upstream =>
      passesHealthCheck(upstream, now),
    );
    const usable = healthy.length > 0 ? healthy : preferred;
    const untried = usable.filter(({name}) => !entry.history.tried.has(name));
    return untried.length > 0 ? untried : usable;
  }

  /**
   * Bounds the number of upstreams to evaluate: owners of the prefix on the
   * consistent-hash ring, and some at random.
   */
  private sampleCandidates(
    upstreams: Upstream[],
    {ring}: UpstreamSubset,
    entry: QueueEntry,
  ): Upstream[] {
    if (upstreams.length <= MAX_UPSTREAMS_WITHOUT_SAMPLING) return upstreams;
    const key = prefixKey(entry);
    const owners =
      key === undefined ? [] : ring.lookup(key, SAMPLED_PREFIX_OWNERS);
    const chosen = new Set(upstreams.filter(({name}) => owners.includes(name)));
    while (chosen.size < SAMPLED_PREFIX_OWNERS + SAMPLED_AT_RANDOM) {
      const index = Math.floor(this.deps.random() * upstreams.length);
      const upstream = upstreams[index];
      if (upstream !== undefined) chosen.add(upstream);
    }
    return [...chosen];
  }

  private estimateAll(
    candidates: readonly Upstream[],
    entry: QueueEntry,
    answerTokens: number,
    vicinity: UpstreamSubset,
  ): LatencyEstimate[] {
    const {topology, timer} = this.deps;
    const now = timer.now();
    const estimates = candidates.map(upstream => {
      const route = topology.routeTo(upstream.zone);
      return estimateLatency(entry, upstream, route, answerTokens, now);
    });
    return assumeCachedOnOwner(estimates, entry, vicinity);
  }

  /** The estimate with the lowest cost of those with capacity. */
  private cheapest(
    estimates: readonly LatencyEstimate[],
    entry: QueueEntry,
    reason: StartReason,
  ): LatencyEstimate | undefined {
    let best: LatencyEstimate | undefined;
    let lowestScore = Infinity;
    for (const estimate of estimates) {
      if (!this.hasCapacity(estimate, entry, reason)) continue;
      const jitter = 1 + SCORE_JITTER_SHARE * this.deps.random();
      const score = selectionCostMs(estimate, entry) * jitter;
      if (score >= lowestScore) continue;
      best = estimate;
      lowestScore = score;
    }
    return best;
  }

  /**
   * Whether a request that is not urgent should wait, because another attempt
   * is computing its prefix and no upstream has enough of it cached yet.
   */
  private shouldAwaitPrefix(
    estimates: readonly LatencyEstimate[],
    entry: QueueEntry,
  ): boolean {
    const key = prefixKey(entry);
    if (key === undefined) return false;
    const slackMs = entry.latestStartAt - this.deps.timer.now();
    if (slackMs < MIN_SLACK_TO_AWAIT_PREFIX_MS) return false;
    const least = entry.promptTokens * SUFFICIENT_CACHED_SHARE;
    if (estimates.some(({cachedTokens}) => cachedTokens >= least)) return false;
    return estimates.some(({upstream}) => upstream.observed.isPrefilling(key));
  }

  private hasCapacity(
    {upstream, route}: LatencyEstimate,
    entry: QueueEntry,
    reason: StartReason,
  ): boolean {
    const {instances: counts} = this.deps;
    const sameRegion = route.distance !== Distance.Remote;
    const instances = sameRegion ? counts.inRegion() : counts.inFleet();
    const now = this.deps.timer.now();
    return hasCapacity(upstream, tierOf(entry), reason, instances, now);
  }

  /** Whether a request would miss its first-token target if started now. */
  private missesTarget(
    {firstTokenMs}: LatencyEstimate,
    {work}: QueueEntry,
  ): boolean {
    const target = work.serviceClass.targets.firstTokenMs;
    if (target === undefined) return false;
    return this.deps.timer.now() + firstTokenMs > work.arrivedAt + target;
  }

  /**
   * Selects an upstream in another region whose link has budget left. If this
   * region has upstreams, only for an urgent request, and only if it then meets
   * its target.
   */
  private selectRemote(
    vicinity: UpstreamSubset,
    entry: QueueEntry,
    answerTokens: number,
    regional: readonly Upstream[],
    reason: StartReason,
  ): LatencyEstimate | undefined {
    const {timer, linkBudgets} = this.deps;
    const now = timer.now();
    if (regional.length > 0 && !this.cannotWait(entry, now)) return undefined;
    const bytes =
      entry.work.body.length +
      REQUEST_OVERHEAD_BYTES +
      answerTokens * STREAMED_BYTES_PER_TOKEN;
    const remote = this.eligible(vicinity.remote, entry);
    const estimates = this.estimateAll(remote, entry, answerTokens, vicinity);
    const affordable = estimates.filter(
      ({route: {link}}) =>
        link === undefined ||
        linkBudgets.canSpend(link, bytes, tierOf(entry), now),
    );
    const best = this.cheapest(affordable, entry, reason);
    if (best === undefined || regional.length === 0) return best;
    return this.missesTarget(best, entry) ? undefined : best;
  }

  /** Whether a first attempt would miss its target by waiting for a slot. */
  private cannotWait(entry: QueueEntry, now: number): boolean {
    if (entry.late || entry.history.tried.size > 0) return false;
    return entry.latestStartAt - now < MIN_SLACK_TO_STAY_IN_REGION_MS;
  }

  private toSelection(
    {...estimate}: LatencyEstimate,
    estimates: readonly LatencyEstimate[],
  ): UpstreamSelection {
    const ranked = [...estimates]
      .sort((a, b) => a.firstTokenMs - b.firstTokenMs)
      .slice(0, MAX_RECORDED_CANDIDATES);
    return {...estimate, weighed: ranked.map(toWeighedUpstream)};
  }
}

/** Whether health permits an attempt; on probation, one at a time. */
function passesHealthCheck(upstream: Upstream, now: number): boolean {
  switch (upstream.observed.health.state(now)) {
    case HealthState.Healthy:
      return true;
    case HealthState.Probation:
      return upstream.inflight === 0;
    case HealthState.Ejected:
      return false;
  }
}

function isFaster(a: LatencyEstimate, b: LatencyEstimate): boolean {
  return a.firstTokenMs < b.firstTokenMs;
}

function toWeighedUpstream(estimate: LatencyEstimate): CandidateUpstream {
  const {upstream, firstTokenMs, cachedTokens} = estimate;
  return {
    name: upstream.name,
    zone: upstream.zone,
    expectedMs: Math.round(firstTokenMs),
    cachedTokens: Math.round(cachedTokens),
    inflight: upstream.inflight,
  };
}
