import xxhash from 'xxhash-wasm';
import {PREFILL_WINDOW_MS} from './load.js';
import type {Prompt} from './protocol.js';

const hasher = await xxhash();

/**
 * Ratio of the longest to the shortest allowed inter-token pause of a service's
 * routes from which engines are reserved. Below it, reserved engines cost more
 * capacity than the shorter pauses are worth.
 */
const MIN_PAUSE_SPREAD = 1.5;
/** Routes whose pause is within this factor of the shortest are sensitive. */
const SENSITIVE_PAUSE_FACTOR = 1.3;
/**
 * Cost of a pause-sensitive request on an unreserved upstream, in ms. About the
 * prefill time of two chunks of a long prompt, which it would wait for there.
 */
const UNRESERVED_PENALTY_MS = 150;
/**
 * Cost of any other request on a reserved upstream, in ms. It exceeds the
 * prefill time of most prompts, so the unreserved engines are filled first.
 */
const RESERVED_PENALTY_MS = 500;
/** Cost of each request in flight on the engine, in ms; it slows each step. */
const INFLIGHT_COST_MS = 2;
/** Cost of a failure share of 1, in ms; about the time of one retry. */
const FAILURE_COST_MS = 400;
/**
 * Cost of an uncached prompt on an upstream other than its home, in ms. It
 * outweighs the round trip to another region, so that instances of all regions
 * use the same home.
 */
const NON_HOME_PENALTY_MS = 60;
/**
 * Weight of the request's own prefill relative to waiting for other prefills.
 * Its prefill also delays every stream of the engine.
 */
const PREFILL_WEIGHT = 1.5;
/** Share of the target within which a request must be expected to start. */
const MAX_START_TARGET_SHARE = 0.6;
/**
 * Share of the target that a prompt may wait for other prefills even if its own
 * prefill takes most of the target.
 */
const MIN_WAIT_TARGET_SHARE = 0.15;
/**
 * Share of its prefill limit up to which an engine accepts a prompt of any
 * size. A prompt that fills the window alone would never be placed otherwise.
 */
const LARGE_LOAD_SHARE = 0.4;
/**
 * Share of an engine's time that the least urgent tier may use for prefill. An
 * engine that is always in prefill gives its streams one token per chunk.
 */
const PREFILL_SHARE = 0.75;
/** Added for each more urgent tier; two steps exceed the whole time. */
const PREFILL_SHARE_STEP = 0.15;
/**
 * Share of an engine's time that a tier may use for prefill while a more urgent
 * one waits. It keeps every tier served.
 */
const YIELDING_PREFILL_SHARE = 0.2;
/**
 * Scale of the limits for an engine that would repeat the prefill of parts that
 * another engine has cached: half, since the work is done twice.
 */
const DUPLICATE_PREFILL_SCALE = 0.5;
/**
 * Scale of the limits for other requests on a reserved engine. The short
 * prefills of pause-sensitive requests need the rest.
 */
const RESERVED_ENGINE_SCALE = 0.3;
/**
 * Share of the shortest allowed pause that the prefill of another request may
 * take on a reserved engine. Decode steps and other prompts take the rest.
 */
const MAX_PREFILL_PAUSE_SHARE = 0.25;
/** Share of the shared tokens that must be cached to count as a holder. */
const MIN_HOLDER_SHARE = 0.5;

/** State of an upstream that [[chooseUpstream]] considers. */
export interface Candidate {
  id: string;
  slots: number;
  /** Requests of this instance that are in flight there. */
  ownInflight: number;
  /** Requests of all instances that are in flight there. */
  inflight: number;
  /** Tokens waiting for prefill in the request's tier and more urgent ones. */
  pendingPrefillTokens: number;
  /** Prefill tokens of the same tiers that were placed in the last second. */
  recentPrefillTokens: number;
  /** Network round trip to the upstream, in ms. */
  roundTripMs: number;
  /** Smoothed share of requests that failed, 0 to 1. */
  failureShare: number;
  /** Whether it is ejected after failures. */
  ejected: boolean;
  /** Whether it has just refused a request because it was full. */
  full: boolean;
  /** Whether it asked for a pause that is not over. */
  paused: boolean;
  /** Whether this instance may send nothing there now, by its declared rate. */
  limited: boolean;
  /** Tokens of the prompt that it is assumed to have cached. */
  cachedTokens: number;
}

/** Properties of a request that decide its placement. */
export interface PlacementQuery {
  prompt?: Prompt;
  /** Whether its route allows only short inter-token pauses. */
  pauseSensitive: boolean;
  /** Whether the caller already received a part of the response. */
  answerStarted: boolean;
  /** Shortest inter-token pause allowed by a route of the service, in ms. */
  shortestPauseMs: number;
  /** Objective of the request, in ms. */
  targetMs: number;
  /** Share of an engine's time that its tier may use for prefill. */
  prefillShare: number;
  /** Whether a more urgent request waits or was recently rejected. */
  yields: boolean;
  /** Ids of the upstreams that it was already sent to. */
  triedUpstreams: ReadonlySet<string>;
}

/** Estimated speeds and reservation of the upstreams of a service. */
export interface SpeedEstimate {
  /** Prompt tokens that an engine prefills per ms. */
  prefillTokensPerMs: number;
  /** Mean time of a request without a prompt, in ms. */
  plainRequestMs: number;
  /** Number of upstreams that are reserved for pause-sensitive requests. */
  reservedCount: number;
}

/** The chosen upstream, or why there is none. */
export type PlacementDecision =
  | {
      type: 'chosen';
      id: string;
      costMs: number;
      /** Prompt tokens that are not cached there and need prefill. */
      freshTokens: number;
      /** Upstreams with capacity that were compared. */
      candidateCount: number;
    }
  /** Every upstream has all its slots in use or has just refused. */
  | {type: 'full'}
  /** Every upstream that is left to try asked for a pause. */
  | {type: 'paused'}
  /** Every upstream with capacity may get nothing now, by its declared rate. */
  | {type: 'limited'}
  /** No engine has prefill capacity; `prefillMs` is what the request needs. */
  | {type: 'busy'; prefillMs: number}
  /** No upstream is left to try. */
  | {type: 'none'};

/**
 * Whether a route with the allowed pause `pauseMs` is disturbed by the prefill
 * of long prompts on the same engine. `pausesMs`: pauses of all routes.
 */
export function isPauseSensitive(
  pauseMs: number | undefined,
  pausesMs: readonly number[],
): boolean {
  if (pauseMs === undefined || pausesMs.length === 0) return false;
  const shortest = Math.min(...pausesMs);
  const longest = Math.max(...pausesMs);
  if (longest < shortest * MIN_PAUSE_SPREAD) return false;
  return pauseMs <= shortest * SENSITIVE_PAUSE_FACTOR;
}

/** Share of an engine's time that requests of a tier may use for prefill. */
export function prefillShareOf(tier: number, lowestTier: number): number {
  return PREFILL_SHARE + PREFILL_SHARE_STEP * Math.max(0, lowestTier - tier);
}

/** Key that maps a prompt to its home upstream, the same on all instances. */
export function homeKeyOf({parts}: Prompt): string {
  return (parts.at(-2) ?? parts.at(-1))?.id ?? '';
}

/** Score of an upstream for a key; the highest scores are preferred. */
function rendezvousScore(key: string, id: string): number {
  return hasher.h32(`${key}/${id}`);
}

function rankByRendezvous(key: string, ids: readonly string[]): string[] {
  const scores = ids.map(id => ({id, score: rendezvousScore(key, id)}));
  scores.sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1));
  return scores.map(({id}) => id);
}

/**
 * Ids of the upstreams reserved for pause-sensitive requests. Rendezvous
 * hashing gives the same ids on all instances without coordination.
 */
export function reservedIds(
  ids: readonly string[],
  count: number,
): ReadonlySet<string> {
  return new Set(rankByRendezvous('shielded', ids).slice(0, count));
}

/**
 * Chooses the upstream with the lowest cost for a request among those that have
 * capacity and were not tried before.
 */
export function chooseUpstream(
  query: PlacementQuery,
  candidates: readonly Candidate[],
  estimate: SpeedEstimate,
  random: () => number,
): PlacementDecision {
  const untried = candidates.filter(({id}) => !query.triedUpstreams.has(id));
  if (untried.length === 0) return {type: 'none'};
  const unpaused = untried.filter(({paused}) => !paused);
  if (unpaused.length === 0) return {type: 'paused'};
  const healthy = unpaused.filter(({ejected}) => !ejected);
  const usable = healthy.length > 0 ? healthy : unpaused;
  const free = usable.filter(
    ({full, ownInflight, slots}) => !full && ownInflight < slots,
  );
  if (free.length === 0) return {type: 'full'};
  const available = free.filter(({limited}) => !limited);
  if (available.length === 0) return {type: 'limited'};
  const ids = candidates.map(({id}) => id);
  const reserved = reservedIds(ids, estimate.reservedCount);
  const home = homeOf(query, ids, reserved);
  const scored = available.map(candidate => {
    const freshTokens = Math.max(
      0,
      (query.prompt?.tokens ?? 0) - candidate.cachedTokens,
    );
    const costMs =
      query.prompt === undefined
        ? plainCostMs(candidate, estimate)
        : engineCostMs(query, candidate, freshTokens, estimate, reserved, home);
    return {candidate, freshTokens, costMs: costMs + random()};
  });
  scored.sort((a, b) => a.costMs - b.costMs);
  const hasHolder = scored.some(
    ({candidate}) =>
      holdsSharedParts(query, candidate) &&
      reserved.has(candidate.id) === query.pauseSensitive,
  );
  const hasUnreserved = available.some(({id}) => !reserved.has(id));
  const best = scored.find(({candidate, freshTokens}) => {
    const isReserved = hasUnreserved && reserved.has(candidate.id);
    const prefillMs = freshTokens / estimate.prefillTokensPerMs;
    const limitScale =
      isReserved && !query.pauseSensitive
        ? reservedEngineScale(query, prefillMs)
        : hasHolder && !holdsSharedParts(query, candidate)
          ? DUPLICATE_PREFILL_SCALE
          : 1;
    return hasPrefillCapacity(
      query,
      candidate,
      freshTokens,
      estimate,
      limitScale,
    );
  });
  if (best === undefined) {
    const prefillMs =
      (scored[0]?.freshTokens ?? 0) / estimate.prefillTokensPerMs;
    return {type: 'busy', prefillMs};
  }
  return {
    type: 'chosen',
    id: best.candidate.id,
    costMs: Math.round(best.costMs),
    freshTokens: best.freshTokens,
    candidateCount: scored.length,
  };
}

/** Whether an engine has cached most of the shared parts of a prompt. */
function holdsSharedParts(
  {prompt}: PlacementQuery,
  {cachedTokens}: Candidate,
): boolean {
  if (prompt === undefined) return false;
  const ownTokens = prompt.parts.at(-1)?.tokens ?? 0;
  const sharedTokens = prompt.tokens - ownTokens;
  return sharedTokens > 0 && cachedTokens >= sharedTokens * MIN_HOLDER_SHARE;
}

/**
 * Scale of the limits for another request on a reserved engine: 0 for a long
 * prefill, which would stall the streams for longer than they may pause.
 */
function reservedEngineScale(
  {shortestPauseMs}: PlacementQuery,
  prefillMs: number,
): number {
  if (prefillMs > shortestPauseMs * MAX_PREFILL_PAUSE_SHARE) return 0;
  return RESERVED_ENGINE_SCALE;
}

/**
 * Whether an engine can prefill a prompt in time and still serve its streams.
 * Requests without a prompt, pause-sensitive ones and those whose response has
 * started are never held back.
 */
function hasPrefillCapacity(
  {
    prompt,
    pauseSensitive,
    answerStarted,
    targetMs,
    prefillShare,
    yields,
  }: PlacementQuery,
  {pendingPrefillTokens, recentPrefillTokens}: Candidate,
  freshTokens: number,
  {prefillTokensPerMs}: SpeedEstimate,
  limitScale: number,
): boolean {
  if (prompt === undefined || pauseSensitive || answerStarted) return true;
  const prefillMs = freshTokens / prefillTokensPerMs;
  const waitMs = pendingPrefillTokens / prefillTokensPerMs;
  const waitLimitMs = Math.max(
    targetMs * MAX_START_TARGET_SHARE - prefillMs,
    targetMs * MIN_WAIT_TARGET_SHARE,
  );
  if (waitMs > waitLimitMs * limitScale) return false;
  const recentMs = recentPrefillTokens / prefillTokensPerMs;
  const allowedShare = yields
    ? Math.min(prefillShare, YIELDING_PREFILL_SHARE)
    : prefillShare;
  const limitMs = allowedShare * limitScale * PREFILL_WINDOW_MS;
  if (recentMs + prefillMs <= limitMs) return true;
  // A prompt that alone exceeds the limit goes to an engine with little load.
  return !yields && limitScale === 1 && recentMs <= limitMs * LARGE_LOAD_SHARE;
}

/** Upstream that all instances prefer for a prompt that is not cached. */
function homeOf(
  {prompt, pauseSensitive}: PlacementQuery,
  ids: readonly string[],
  reserved: ReadonlySet<string>,
): string | undefined {
  if (prompt === undefined) return undefined;
  const group = ids.filter(id => reserved.has(id) === pauseSensitive);
  return rankByRendezvous(homeKeyOf(prompt), group.length > 0 ? group : ids)[0];
}

function plainCostMs(candidate: Candidate, estimate: SpeedEstimate): number {
  const {inflight, slots, roundTripMs, failureShare} = candidate;
  return (
    roundTripMs +
    failureShare * FAILURE_COST_MS +
    (inflight / slots) * estimate.plainRequestMs
  );
}

function engineCostMs(
  {pauseSensitive}: PlacementQuery,
  {
    inflight,
    pendingPrefillTokens,
    cachedTokens,
    roundTripMs,
    failureShare,
    id,
  }: Candidate,
  freshTokens: number,
  estimate: SpeedEstimate,
  reserved: ReadonlySet<string>,
  home: string | undefined,
): number {
  const isReserved = reserved.has(id);
  const reservationMs =
    isReserved === pauseSensitive
      ? 0
      : pauseSensitive
        ? UNRESERVED_PENALTY_MS
        : RESERVED_PENALTY_MS;
  const nonHomeMs = cachedTokens === 0 && id !== home ? NON_HOME_PENALTY_MS : 0;
  return (
    roundTripMs +
    (freshTokens * PREFILL_WEIGHT + pendingPrefillTokens) /
      estimate.prefillTokensPerMs +
    inflight * INFLIGHT_COST_MS +
    failureShare * FAILURE_COST_MS +
    reservationMs +
    nonHomeMs
  );
}
