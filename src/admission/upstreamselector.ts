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

/** Upstreams that are all weighed; of more, a few are sampled. */
const WEIGH_ALL_LIMIT = 12;
const SAMPLED_HOMES = 2;
const SAMPLED_OTHERS = 6;
const RECORDED_LIMIT = 4;
/** Spread of scores, so that instances don't choose alike. */
const JITTER_SHARE = 0.1;
/** Slack above which a request waits for its prefix to be computed. */
const PREFIX_PATIENCE_MS = 2_000;
/** Share of a prompt in a cache from which waiting for more saves nothing. */
const PREFIX_SHARE = 0.4;
/** Slack below which a request does not wait for a slot in its region. */
const LINK_SLACK_MS = 150;
/** Bytes of a streamed answer per token. */
export const STREAMED_BYTES_PER_TOKEN = 230;
/** Bytes of a request besides its body. */
export const REQUEST_OVERHEAD_BYTES = 400;

/** The upstream chosen for a request. */
export interface UpstreamSelection extends LatencyEstimate {
  /** Upstreams that were weighed, best first. */
  weighed: CandidateUpstream[];
}

/** Numbers of live instances that share upstreams. */
export interface FleetSize {
  /** In the whole fleet. */
  inFleet(): number;
  /** In this instance's region. */
  inRegion(): number;
}

/** What a choice depends on. */
export interface ChoiceParts {
  instances: FleetSize;
  vicinities: UpstreamSubsets;
  topology: Topology;
  linkBudgets: LinkBudgets;
  timer: Timer;
  random: () => number;
}

/**
 * Chooses upstreams by expected time: what waits there, what of the prompt it
 * has cached, how fast it is, and how far it is.
 */
export class UpstreamSelector {
  constructor(private readonly parts: ChoiceParts) {}

  /** Follows a configured change of places. */
  setTopology(topology: Topology): void {
    this.parts.topology = topology;
  }

  /** Whether any upstream takes work of the request's kind. */
  hasUpstream(entry: QueueEntry): boolean {
    const vicinity = this.parts.vicinities.forDemand(entry.work.demand);
    if (vicinity === undefined) return false;
    return vicinity.inRegion.some(takesWork) || vicinity.remote.some(takesWork);
  }

  /** Chooses an upstream with room, or none if the request has to wait. */
  select(
    entry: QueueEntry,
    answerTokens: number,
    share: StartReason,
  ): UpstreamSelection | undefined {
    const vicinity = this.parts.vicinities.forDemand(entry.work.demand);
    if (vicinity === undefined) return undefined;
    const home = this.usable(vicinity.inRegion, entry);
    const candidates = this.sample(home, vicinity, entry);
    const weighed = this.weigh(candidates, entry, answerTokens, vicinity);
    if (this.awaitsPrefix(weighed, entry)) return undefined;
    const best = this.best(weighed, entry, share);
    if (best !== undefined && !this.misses(best, entry)) {
      return this.chosen(best, weighed);
    }
    const far = this.far(vicinity, entry, answerTokens, home, share);
    if (far !== undefined && (best === undefined || faster(far, best))) {
      return this.chosen(far, [...weighed, far]);
    }
    return best === undefined ? undefined : this.chosen(best, weighed);
  }

  /**
   * Upstreams that take work and are not ejected. Those that do not hold the
   * model, and those tried before, are left for when there are no others.
   */
  private usable(
    upstreams: readonly Upstream[],
    entry: QueueEntry,
  ): Upstream[] {
    const now = this.parts.timer.now();
    const taking = upstreams.filter(takesWork);
    const holding = taking.filter(other =>
      hasModelLoaded(other, entry.work.demand),
    );
    const live = holding.length > 0 ? holding : taking;
    const healthy = live.filter(upstream => admits(upstream, now));
    const sound = healthy.length > 0 ? healthy : live;
    const untried = sound.filter(({name}) => !entry.history.tried.has(name));
    return untried.length > 0 ? untried : sound;
  }

  private sample(
    upstreams: Upstream[],
    {ring}: UpstreamSubset,
    entry: QueueEntry,
  ): Upstream[] {
    if (upstreams.length <= WEIGH_ALL_LIMIT) return upstreams;
    const key = prefixKey(entry);
    const names = key === undefined ? [] : ring.lookup(key, SAMPLED_HOMES);
    const chosen = new Set(upstreams.filter(({name}) => names.includes(name)));
    while (chosen.size < SAMPLED_HOMES + SAMPLED_OTHERS) {
      const index = Math.floor(this.parts.random() * upstreams.length);
      const upstream = upstreams[index];
      if (upstream !== undefined) chosen.add(upstream);
    }
    return [...chosen];
  }

  private weigh(
    candidates: readonly Upstream[],
    entry: QueueEntry,
    answerTokens: number,
    vicinity: UpstreamSubset,
  ): LatencyEstimate[] {
    const {topology, timer} = this.parts;
    const now = timer.now();
    const all = candidates.map(upstream => {
      const route = topology.routeTo(upstream.zone);
      return estimateLatency(entry, upstream, route, answerTokens, now);
    });
    return assumeCachedOnOwner(all, entry, vicinity);
  }

  private best(
    weighed: readonly LatencyEstimate[],
    entry: QueueEntry,
    share: StartReason,
  ): LatencyEstimate | undefined {
    let best: LatencyEstimate | undefined;
    let lowest = Infinity;
    for (const expectation of weighed) {
      if (!this.hasRoom(expectation, entry, share)) continue;
      const spread = 1 + JITTER_SHARE * this.parts.random();
      const score = selectionCostMs(expectation, entry) * spread;
      if (score >= lowest) continue;
      best = expectation;
      lowest = score;
    }
    return best;
  }

  /**
   * Whether a request with time to spare should wait, because its prefix is
   * being computed for another and nowhere in a cache yet.
   */
  private awaitsPrefix(
    weighed: readonly LatencyEstimate[],
    entry: QueueEntry,
  ): boolean {
    const key = prefixKey(entry);
    if (key === undefined) return false;
    const slackMs = entry.latestStartAt - this.parts.timer.now();
    if (slackMs < PREFIX_PATIENCE_MS) return false;
    const needed = entry.promptTokens * PREFIX_SHARE;
    if (weighed.some(({cachedTokens}) => cachedTokens >= needed)) return false;
    return weighed.some(({upstream}) => upstream.observed.isPrefilling(key));
  }

  private hasRoom(
    {upstream, route}: LatencyEstimate,
    entry: QueueEntry,
    share: StartReason,
  ): boolean {
    const {instances: fleet} = this.parts;
    const near = route.distance !== Distance.Remote;
    const instances = near ? fleet.inRegion() : fleet.inFleet();
    const now = this.parts.timer.now();
    return hasCapacity(upstream, tierOf(entry), share, instances, now);
  }

  /** Whether a request would miss its target on an upstream chosen now. */
  private misses({firstTokenMs}: LatencyEstimate, {work}: QueueEntry): boolean {
    const target = work.serviceClass.targets.firstTokenMs;
    if (target === undefined) return false;
    return this.parts.timer.now() + firstTokenMs > work.arrivedAt + target;
  }

  /** An upstream in another region, where crossing the link is warranted. */
  private far(
    vicinity: UpstreamSubset,
    entry: QueueEntry,
    answerTokens: number,
    home: readonly Upstream[],
    share: StartReason,
  ): LatencyEstimate | undefined {
    const {timer, linkBudgets: budgets} = this.parts;
    const now = timer.now();
    if (home.length > 0 && !this.pressing(entry, now)) return undefined;
    const bytes =
      entry.work.body.length +
      REQUEST_OVERHEAD_BYTES +
      answerTokens * STREAMED_BYTES_PER_TOKEN;
    const remote = this.usable(vicinity.remote, entry);
    const weighed = this.weigh(remote, entry, answerTokens, vicinity);
    const affordable = weighed.filter(
      ({route: {link}}) =>
        link === undefined || budgets.canSpend(link, bytes, tierOf(entry), now),
    );
    const best = this.best(affordable, entry, share);
    if (best === undefined || home.length === 0) return best;
    return this.misses(best, entry) ? undefined : best;
  }

  /** Whether waiting for a slot in this region would miss the target. */
  private pressing(entry: QueueEntry, now: number): boolean {
    if (entry.late || entry.history.tried.size > 0) return false;
    return entry.latestStartAt - now < LINK_SLACK_MS;
  }

  private chosen(
    {...expectation}: LatencyEstimate,
    weighed: readonly LatencyEstimate[],
  ): UpstreamSelection {
    const ranked = [...weighed]
      .sort((a, b) => a.firstTokenMs - b.firstTokenMs)
      .slice(0, RECORDED_LIMIT);
    return {...expectation, weighed: ranked.map(recorded)};
  }
}

function admits(upstream: Upstream, now: number): boolean {
  switch (upstream.observed.health.state(now)) {
    case HealthState.Healthy:
      return true;
    case HealthState.Probation:
      return upstream.inflight === 0;
    case HealthState.Ejected:
      return false;
  }
}

function faster(a: LatencyEstimate, b: LatencyEstimate): boolean {
  return a.firstTokenMs < b.firstTokenMs;
}

function recorded(expectation: LatencyEstimate): CandidateUpstream {
  const {upstream, firstTokenMs, cachedTokens} = expectation;
  return {
    name: upstream.name,
    zone: upstream.zone,
    expectedMs: Math.round(firstTokenMs),
    cachedTokens: Math.round(cachedTokens),
    inflight: upstream.inflight,
  };
}
