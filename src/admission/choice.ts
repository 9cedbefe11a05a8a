import type {Work} from '../request/index.js';
import type {WeighedUpstream} from '../telemetry/index.js';
import type {Timer} from '../timer/index.js';
import {
  HealthState,
  holds,
  takesWork,
  type Upstream,
  type Vicinities,
  type Vicinity,
} from '../upstream/index.js';
import {Distance, type LinkBudgets, type Topology} from '../zone/index.js';
import {tierOf, type Entry} from './entry.js';
import {expect, loadOf, slotsOf, type Expectation} from './expectation.js';
import {hasRoom, type Share} from './room.js';

/** Upstreams that are all weighed; of more, a few are sampled. */
const WEIGH_ALL_LIMIT = 12;
const SAMPLED_HOMES = 2;
const SAMPLED_OTHERS = 6;
const RECORDED_LIMIT = 4;
/** Spread of scores, so that instances don't choose alike. */
const JITTER_SHARE = 0.1;
/** Blocks that decide on the agreed home of a prefix. */
const HOME_BLOCKS = 8;
/** Share of a prompt presumed in the cache of the home of its prefix. */
const HOME_PRESUMED_SHARE = 0.6;
/**
 * Weight of the time that computing a prompt takes from the other requests of
 * its batch, relative to the time that it takes from its own.
 */
const BATCH_DELAY_WEIGHT = 6;
/** Steps by which a full batch is worse than an empty one. */
const CROWDING_STEPS = 2;
/** Slack below which a request does not wait for a slot in its region. */
const LINK_SLACK_MS = 150;
/** Bytes of a streamed answer per token. */
export const ANSWER_BYTES_PER_TOKEN = 230;
/** Bytes of a request besides its body. */
export const REQUEST_OVERHEAD_BYTES = 400;

/** The upstream chosen for a request. */
export interface Choice extends Expectation {
  /** Upstreams that were weighed, best first. */
  weighed: WeighedUpstream[];
}

/** Numbers of live instances that share upstreams. */
export interface FleetSize {
  /** In the whole fleet. */
  all(): number;
  /** In this instance's region. */
  inRegion(): number;
}

/** What a choice depends on. */
export interface ChoiceParts {
  fleet: FleetSize;
  vicinities: Vicinities;
  topology: Topology;
  budgets: LinkBudgets;
  timer: Timer;
  random: () => number;
}

/**
 * Chooses upstreams by expected time: what waits there, what of the prompt it
 * has cached, how fast it is, and how far it is.
 */
export class Chooser {
  constructor(private readonly parts: ChoiceParts) {}

  /** Follows a configured change of places. */
  relocate(topology: Topology): void {
    this.parts.topology = topology;
  }

  /** Whether any upstream takes work of the request's kind. */
  served(entry: Entry): boolean {
    const vicinity = this.parts.vicinities.of(entry.work.demand);
    if (vicinity === undefined) return false;
    return vicinity.home.some(takesWork) || vicinity.remote.some(takesWork);
  }

  /** Chooses an upstream with room, or none if the request has to wait. */
  choose(entry: Entry, answerTokens: number, share: Share): Choice | undefined {
    const vicinity = this.parts.vicinities.of(entry.work.demand);
    if (vicinity === undefined) return undefined;
    const home = this.usable(vicinity.home, entry);
    const candidates = this.sample(home, vicinity, entry);
    const weighed = this.weigh(candidates, entry, answerTokens, vicinity);
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

  /** Upstreams that take work and are not ejected; tried ones come last. */
  private usable(upstreams: readonly Upstream[], entry: Entry): Upstream[] {
    const now = this.parts.timer.now();
    const taking = upstreams.filter(takesWork);
    const holding = taking.filter(other => holds(other, entry.work.demand));
    const live = holding.length > 0 ? holding : taking;
    const healthy = live.filter(upstream => admits(upstream, now));
    const sound = healthy.length > 0 ? healthy : live;
    const untried = sound.filter(({name}) => !entry.history.tried.has(name));
    return untried.length > 0 ? untried : sound;
  }

  private sample(
    upstreams: Upstream[],
    {ring}: Vicinity,
    entry: Entry,
  ): Upstream[] {
    if (upstreams.length <= WEIGH_ALL_LIMIT) return upstreams;
    const key = homeKey(entry);
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
    entry: Entry,
    answerTokens: number,
    vicinity: Vicinity,
  ): Expectation[] {
    const {topology, timer} = this.parts;
    const now = timer.now();
    const all = candidates.map(upstream => {
      const route = topology.routeTo(upstream.zone);
      return expect(entry, upstream, route, answerTokens, now);
    });
    return presumeHome(all, entry, vicinity);
  }

  private best(
    weighed: readonly Expectation[],
    entry: Entry,
    share: Share,
  ): Expectation | undefined {
    let best: Expectation | undefined;
    let lowest = Infinity;
    for (const expectation of weighed) {
      if (!this.hasRoom(expectation, entry, share)) continue;
      const spread = 1 + JITTER_SHARE * this.parts.random();
      const score = scoreOf(expectation, entry) * spread;
      if (score >= lowest) continue;
      best = expectation;
      lowest = score;
    }
    return best;
  }

  private hasRoom(
    {upstream, route}: Expectation,
    entry: Entry,
    share: Share,
  ): boolean {
    const {fleet} = this.parts;
    const near = route.distance !== Distance.Remote;
    const instances = near ? fleet.inRegion() : fleet.all();
    return hasRoom(upstream, tierOf(entry), share, instances);
  }

  /** Whether a request would miss its target on an upstream chosen now. */
  private misses({firstTokenMs}: Expectation, {work}: Entry): boolean {
    const target = work.serviceClass.targets.firstTokenMs;
    if (target === undefined) return false;
    return this.parts.timer.now() + firstTokenMs > work.arrivedAt + target;
  }

  /** An upstream in another region, where crossing the link is warranted. */
  private far(
    vicinity: Vicinity,
    entry: Entry,
    answerTokens: number,
    home: readonly Upstream[],
    share: Share,
  ): Expectation | undefined {
    const {timer, budgets} = this.parts;
    const now = timer.now();
    if (home.length > 0 && !this.pressing(entry, now)) return undefined;
    const bytes =
      entry.work.body.length +
      REQUEST_OVERHEAD_BYTES +
      answerTokens * ANSWER_BYTES_PER_TOKEN;
    const remote = this.usable(vicinity.remote, entry);
    const weighed = this.weigh(remote, entry, answerTokens, vicinity);
    const affordable = weighed.filter(
      ({route: {link}}) =>
        link === undefined || budgets.admits(link, bytes, tierOf(entry), now),
    );
    const best = this.best(affordable, entry, share);
    if (best === undefined || home.length === 0) return best;
    return this.misses(best, entry) ? undefined : best;
  }

  /** Whether waiting for a slot in this region would miss the target. */
  private pressing(entry: Entry, now: number): boolean {
    if (entry.late || entry.history.tried.size > 0) return false;
    return entry.latestStartAt - now < LINK_SLACK_MS;
  }

  private chosen(
    {...expectation}: Expectation,
    weighed: readonly Expectation[],
  ): Choice {
    const ranked = [...weighed]
      .sort((a, b) => a.firstTokenMs - b.firstTokenMs)
      .slice(0, RECORDED_LIMIT);
    return {...expectation, weighed: ranked.map(recorded)};
  }
}

function admits(upstream: Upstream, now: number): boolean {
  switch (upstream.condition.health.state(now)) {
    case HealthState.Healthy:
      return true;
    case HealthState.Probation:
      return upstream.inflight === 0;
    case HealthState.Ejected:
      return false;
  }
}

function faster(a: Expectation, b: Expectation): boolean {
  return a.firstTokenMs < b.firstTokenMs;
}

/** What choosing an upstream costs this request and others, in ms. */
function scoreOf(expectation: Expectation, {work}: Entry): number {
  const {prefillMs, upstream} = expectation;
  const occupied = loadOf(upstream) / slotsOf(upstream);
  const crowdingMs =
    CROWDING_STEPS * occupied * upstream.condition.speed.stepMs;
  const batchDelayMs = BATCH_DELAY_WEIGHT * prefillMs;
  return ownTimeOf(expectation, work) + batchDelayMs + crowdingMs;
}

/** Expected time of the request itself that counts for its class, in ms. */
function ownTimeOf(
  {firstTokenMs, completionMs, upstream}: Expectation,
  work: Work,
): number {
  const {targets} = work.serviceClass;
  const {stepMs} = upstream.condition.speed;
  const pace = stepMs / (targets.betweenTokensMs ?? Infinity);
  const slow = completionMs * Math.max(0, 2 * pace - 1);
  if (targets.firstTokenMs === undefined) return completionMs;
  if (targets.completionMs === undefined) return firstTokenMs + slow;
  const share = targets.firstTokenMs / targets.completionMs;
  return firstTokenMs + share * completionMs;
}

function homeKey({blocks}: Entry): string | undefined {
  return blocks[Math.min(HOME_BLOCKS, blocks.length) - 1];
}

/**
 * Where no upstream is known to hold the prompt's prefix, presumes part of it
 * at the agreed home, since other instances send the prefix there.
 */
function presumeHome(
  weighed: Expectation[],
  entry: Entry,
  {ring}: Vicinity,
): Expectation[] {
  const key = homeKey(entry);
  if (key === undefined) return weighed;
  if (weighed.some(({cachedTokens}) => cachedTokens > 0)) return weighed;
  const [home] = ring.lookup(key, 1);
  return weighed.map(expectation => {
    const {upstream, firstTokenMs, prefillMs} = expectation;
    if (upstream.name !== home) return expectation;
    const savedMs = prefillMs * HOME_PRESUMED_SHARE;
    return {
      ...expectation,
      firstTokenMs: firstTokenMs - savedMs,
      prefillMs: prefillMs - savedMs,
    };
  });
}

function recorded(expectation: Expectation): WeighedUpstream {
  const {upstream, firstTokenMs, cachedTokens} = expectation;
  return {
    name: upstream.name,
    zone: upstream.zone,
    expectedMs: Math.round(firstTokenMs),
    cachedTokens: Math.round(cachedTokens),
    inflight: upstream.inflight,
  };
}
