import xxhash from 'xxhash-wasm';
import {PREFILL_WINDOW_MS} from './load.js';
import type {Prompt} from './protocol.js';

const hasher = await xxhash();

/**
 * Longest pause over shortest from which kinds are told apart. Below it, engines
 * of their own would cost more room than they spare in pauses.
 */
const SENSITIVE_SPREAD = 1.5;
/** Kinds whose pause is within this factor of the shortest are as sensitive. */
const SENSITIVE_SHARE = 1.3;
/**
 * Cost of work for sensitive kinds on an upstream of the others, in ms. About the
 * reading of two chunks of a long prompt, which it would wait for there.
 */
const SHIELD_MS = 150;
/**
 * Cost of long prompts on an upstream that sensitive kinds use, in ms. It exceeds
 * the reading of most prompts, so the other engines are filled first.
 */
const INTRUSION_MS = 500;
/** Cost of a request that runs beside, in ms; it lengthens each step. */
const NEIGHBOUR_MS = 2;
/** Cost of the share of failures of an upstream, in ms; about one repeat. */
const FAILING_MS = 400;
/**
 * Cost of reading a prompt away from its agreed home, in ms. It outweighs the way
 * to another region, so instances of all regions keep to one home.
 */
const AWAY_MS = 60;
/**
 * Weight of reading for the request beside waiting for others. The same reading
 * also delays every stream of the engine.
 */
const READING_WEIGHT = 1.5;
/** Share of a target within which a request must be expected to start. */
const START_SHARE = 0.6;
/**
 * Share of a target that a prompt may wait for others even if its own reading
 * takes most of the target.
 */
const WAIT_MINIMUM_SHARE = 0.15;
/**
 * Share of its bound up to which an engine takes a prompt of any size; a prompt
 * that fills the window alone would never be read otherwise.
 */
const LARGE_SHARE = 0.4;
/**
 * Share of an engine's time that the least urgent tier may fill with reading.
 * An engine that always reads gives its streams one token a chunk.
 */
const READING_SHARE = 0.75;
/** What each more urgent tier may fill beyond that; two reach the whole. */
const READING_SHARE_STEP = 0.15;
/**
 * Share of an engine's time that a tier may fill while something more urgent
 * waits. It keeps every kind served.
 */
const YIELDING_SHARE = 0.2;
/**
 * Share of the bounds for an engine that would read again what others hold; half,
 * since twice the work is done for the same answer.
 */
const SPILL_FIT = 0.5;
/**
 * Share of the bounds for an engine that is kept for sensitive kinds. Their own
 * reading, which is short, needs the rest.
 */
const INTRUSION_FIT = 0.3;
/**
 * Share of the shortest pause that reading beside sensitive kinds may take; their
 * own steps and other prompts take the rest.
 */
const INTRUSION_PAUSE_SHARE = 0.25;
/** Share of the shared parts from which an engine counts as holding them. */
const HOLDER_SHARE = 0.5;

/** An upstream as it is weighed. */
export interface Candidate {
  id: string;
  slots: number;
  /** Requests of this instance that are with it. */
  ownInflight: number;
  /** Requests of all instances that are with it. */
  inflight: number;
  /** Prompt tokens it has yet to read that go before the request's. */
  pendingPrefillTokens: number;
  /** Of the request's tier and above, given to it in the last second. */
  recentPrefillTokens: number;
  /** Way there and back, in ms. */
  roundTripMs: number;
  /** Smoothed share of requests that failed. */
  failureShare: number;
  /** Whether it is out of use after failures. */
  ejected: boolean;
  /** Whether it has just refused for being full. */
  full: boolean;
  /** Tokens of this prompt that it is believed to hold. */
  cachedTokens: number;
}

/** What a choice needs to know of a request. */
export interface PlacementQuery {
  prompt?: Prompt;
  /** Whether its kind has the shortest pauses of the service. */
  pauseSensitive: boolean;
  /** Whether its caller has a part of the answer already. */
  answerStarted: boolean;
  /** Shortest pause that a kind of the service may make, in ms. */
  shortestPauseMs: number;
  /** Objective of the request, in ms. */
  targetMs: number;
  /** Share of an engine's time that may be filled for requests of its tier. */
  prefillShare: number;
  /** Whether something more urgent waits for the engines or was turned away. */
  yields: boolean;
  /** Upstreams it was sent to before. */
  triedUpstreams: ReadonlySet<string>;
}

/** What is believed of the engines of a service. */
export interface SpeedEstimate {
  /** Prompt tokens read in a ms. */
  prefillTokensPerMs: number;
  /** Mean time of a plain request, in ms. */
  plainRequestMs: number;
  /** Upstreams kept for sensitive kinds, in the agreed order. */
  reservedCount: number;
}

/** The verdict on where a request goes. */
export type PlacementDecision =
  | {
      type: 'chosen';
      id: string;
      costMs: number;
      /** Tokens that it will have to read. */
      freshTokens: number;
      candidateCount: number;
    }
  /** Every upstream has as many requests as it can take. */
  | {type: 'full'}
  /** Every engine has enough to read; `readingMs` is what the request adds. */
  | {type: 'busy'; prefillMs: number}
  | {type: 'none'};

/** Whether a kind with this pause is disturbed by long prompts beside it. */
export function isPauseSensitive(
  pauseMs: number | undefined,
  pausesMs: readonly number[],
): boolean {
  if (pauseMs === undefined || pausesMs.length === 0) return false;
  const shortest = Math.min(...pausesMs);
  const longest = Math.max(...pausesMs);
  if (longest < shortest * SENSITIVE_SPREAD) return false;
  return pauseMs <= shortest * SENSITIVE_SHARE;
}

/** Share of an engine's time that requests of a tier may fill with reading. */
export function prefillShareOf(tier: number, lowestTier: number): number {
  return READING_SHARE + READING_SHARE_STEP * Math.max(0, lowestTier - tier);
}

/** The key by which instances agree on the home of a prompt without talk. */
export function homeKey({parts}: Prompt): string {
  return (parts.at(-2) ?? parts.at(-1))?.id ?? '';
}

function scoreOf(key: string, id: string): number {
  return hasher.h32(`${key}/${id}`);
}

function byScore(key: string, ids: readonly string[]): string[] {
  const scores = ids.map(id => ({id, score: scoreOf(key, id)}));
  scores.sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1));
  return scores.map(({id}) => id);
}

/** Ids of the upstreams that sensitive kinds use, agreed without talk. */
export function reservedIds(
  ids: readonly string[],
  count: number,
): ReadonlySet<string> {
  return new Set(byScore('shielded', ids).slice(0, count));
}

/**
 * Chooses the upstream on which a request costs least, among those that take
 * work and were not tried before.
 */
export function chooseUpstream(
  ask: PlacementQuery,
  candidates: readonly Candidate[],
  pace: SpeedEstimate,
  random: () => number,
): PlacementDecision {
  const untried = candidates.filter(({id}) => !ask.triedUpstreams.has(id));
  const sound = untried.filter(({ejected: out}) => !out);
  const usable = sound.length > 0 ? sound : untried;
  if (usable.length === 0) return {type: 'none'};
  const open = usable.filter(
    ({full, ownInflight, slots}) => !full && ownInflight < slots,
  );
  if (open.length === 0) return {type: 'full'};
  const ids = candidates.map(({id}) => id);
  const shielded = reservedIds(ids, pace.reservedCount);
  const home = homeOf(ask, ids, shielded);
  const weighed = open.map(candidate => {
    const freshTokens = Math.max(
      0,
      (ask.prompt?.tokens ?? 0) - candidate.cachedTokens,
    );
    const costMs =
      ask.prompt === undefined
        ? plainCost(candidate, pace)
        : engineCost(ask, candidate, freshTokens, pace, shielded, home);
    return {candidate, freshTokens, costMs: costMs + random()};
  });
  weighed.sort((a, b) => a.costMs - b.costMs);
  const isHeld = weighed.some(
    ({candidate}) =>
      isHolder(ask, candidate) &&
      shielded.has(candidate.id) === ask.pauseSensitive,
  );
  const hasOthers = open.some(({id}) => !shielded.has(id));
  const best = weighed.find(({candidate, freshTokens}) => {
    const isIntruder = hasOthers && shielded.has(candidate.id);
    const readingMs = freshTokens / pace.prefillTokensPerMs;
    const fit =
      isIntruder && !ask.pauseSensitive
        ? intrusionFit(ask, readingMs)
        : isHeld && !isHolder(ask, candidate)
          ? SPILL_FIT
          : 1;
    return hasTime(ask, candidate, freshTokens, pace, fit);
  });
  if (best === undefined) {
    const readingMs = (weighed[0]?.freshTokens ?? 0) / pace.prefillTokensPerMs;
    return {type: 'busy', prefillMs: readingMs};
  }
  return {
    type: 'chosen',
    id: best.candidate.id,
    costMs: Math.round(best.costMs),
    freshTokens: best.freshTokens,
    candidateCount: weighed.length,
  };
}

/** Whether an engine holds most of what a prompt shares with others. */
function isHolder(
  {prompt}: PlacementQuery,
  {cachedTokens: heldTokens}: Candidate,
): boolean {
  if (prompt === undefined) return false;
  const own = prompt.parts.at(-1)?.tokens ?? 0;
  const shared = prompt.tokens - own;
  return shared > 0 && heldTokens >= shared * HOLDER_SHARE;
}

/**
 * Share of the bounds of an engine that is kept for sensitive kinds. A prompt
 * that takes long to read is not read there, since it would hold up the streams
 * for longer than they may pause.
 */
function intrusionFit(
  {shortestPauseMs}: PlacementQuery,
  readingMs: number,
): number {
  if (readingMs > shortestPauseMs * INTRUSION_PAUSE_SHARE) return 0;
  return INTRUSION_FIT;
}

/**
 * Whether an engine has time to read a prompt soon enough and still gives its
 * streams their tokens. An engine with nothing to read always has.
 */
function hasTime(
  {
    prompt,
    pauseSensitive: sensitive,
    answerStarted: begun,
    targetMs,
    prefillShare: readingShare,
    yields: yields,
  }: PlacementQuery,
  {
    pendingPrefillTokens: unreadTokens,
    recentPrefillTokens: recentTokens,
  }: Candidate,
  freshTokens: number,
  {prefillTokensPerMs: tokensPerMs}: SpeedEstimate,
  fit: number,
): boolean {
  if (prompt === undefined || sensitive || begun) return true;
  const readingMs = freshTokens / tokensPerMs;
  const waitMs = unreadTokens / tokensPerMs;
  const waitLimitMs = Math.max(
    targetMs * START_SHARE - readingMs,
    targetMs * WAIT_MINIMUM_SHARE,
  );
  if (waitMs > waitLimitMs * fit) return false;
  const busyMs = recentTokens / tokensPerMs;
  const share = yields ? Math.min(readingShare, YIELDING_SHARE) : readingShare;
  const limitMs = share * fit * PREFILL_WINDOW_MS;
  if (busyMs + readingMs <= limitMs) return true;
  // What alone fills the window is read where little else was.
  return !yields && fit === 1 && busyMs <= limitMs * LARGE_SHARE;
}

/** The upstream at which all instances have a new prompt's parts read. */
function homeOf(
  {prompt, pauseSensitive: sensitive}: PlacementQuery,
  ids: readonly string[],
  shielded: ReadonlySet<string>,
): string | undefined {
  if (prompt === undefined) return undefined;
  const group = ids.filter(id => shielded.has(id) === sensitive);
  return byScore(homeKey(prompt), group.length > 0 ? group : ids)[0];
}

function plainCost(candidate: Candidate, pace: SpeedEstimate): number {
  const {inflight, slots, roundTripMs, failureShare: failing} = candidate;
  return (
    roundTripMs +
    failing * FAILING_MS +
    (inflight / slots) * pace.plainRequestMs
  );
}

function engineCost(
  {pauseSensitive: sensitive}: PlacementQuery,
  {
    inflight,
    pendingPrefillTokens: unreadTokens,
    cachedTokens: heldTokens,
    roundTripMs,
    failureShare: failing,
    id,
  }: Candidate,
  freshTokens: number,
  pace: SpeedEstimate,
  shielded: ReadonlySet<string>,
  home: string | undefined,
): number {
  const isShielded = shielded.has(id);
  const apart =
    isShielded === sensitive ? 0 : sensitive ? SHIELD_MS : INTRUSION_MS;
  const away = heldTokens === 0 && id !== home ? AWAY_MS : 0;
  return (
    roundTripMs +
    (freshTokens * READING_WEIGHT + unreadTokens) / pace.prefillTokensPerMs +
    inflight * NEIGHBOUR_MS +
    failing * FAILING_MS +
    apart +
    away
  );
}
