import xxhash from 'xxhash-wasm';
import type {Prompt} from './protocol.js';

const hasher = await xxhash();

/** Pause from which a kind of request bears other prompts beside it. */
const SENSITIVE_SPREAD = 1.5;
/** Kinds whose pause is within this factor of the shortest are as sensitive. */
const SENSITIVE_SHARE = 1.3;
/** Cost of work for sensitive kinds on an upstream of the others, in ms. */
const SHIELD_MS = 150;
/** Cost of long prompts on an upstream that sensitive kinds use, in ms. */
const INTRUSION_MS = 500;
/** Cost of a request that runs beside, in ms; the slope of a step's time. */
const NEIGHBOUR_MS = 2;
/** Cost of the share of failures of an upstream, in ms. */
const FAILING_MS = 400;
/** Share of cached tokens that an agreed home is presumed to hold. */
const HOME_CONFIDENCE = 0.9;
/** Age at which what an upstream said of its load counts half, in ms. */
const LOAD_HALF_LIFE_MS = 600;

/** An upstream as it is weighed. */
export interface Candidate {
  id: string;
  slots: number;
  /** Requests of this instance that are with it. */
  inflight: number;
  /** Prompt tokens of this instance that it has yet to read. */
  prefillTokens: number;
  /** What it last said of the load of others, and how old that is. */
  others?: {running: number; waiting: number; ageMs: number};
  /** Way there and back, in ms. */
  roundTripMs: number;
  /** Smoothed share of requests that failed. */
  failing: number;
  /** Whether it is out of use after failures. */
  out: boolean;
  /** Whether it has just refused for being full. */
  full: boolean;
  /** Tokens of this prompt that it is believed to hold. */
  heldTokens: number;
}

/** What a choice needs to know of a request. */
export interface Ask {
  prompt?: Prompt;
  /** Whether its kind has the shortest pauses of the service. */
  sensitive: boolean;
  /** Upstreams it was sent to before. */
  tried: ReadonlySet<string>;
}

/** What is believed of the engines of a service. */
export interface Pace {
  /** Prompt tokens read in a ms. */
  tokensPerMs: number;
  /** Mean time of a plain request, in ms. */
  serviceMs: number;
  /** Upstreams kept for sensitive kinds, in the agreed order. */
  shielded: number;
}

/** The verdict on where a request goes. */
export type Choice =
  | {
      type: 'chosen';
      id: string;
      costMs: number;
      /** Tokens that it will have to read. */
      freshTokens: number;
      weighed: number;
    }
  | {type: 'full'}
  | {type: 'none'};

/** Whether a kind with this pause is disturbed by long prompts beside it. */
export function isSensitive(
  pauseMs: number | undefined,
  pausesMs: readonly number[],
): boolean {
  if (pauseMs === undefined || pausesMs.length === 0) return false;
  const shortest = Math.min(...pausesMs);
  const longest = Math.max(...pausesMs);
  if (longest < shortest * SENSITIVE_SPREAD) return false;
  return pauseMs <= shortest * SENSITIVE_SHARE;
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
export function shieldedIds(
  ids: readonly string[],
  count: number,
): ReadonlySet<string> {
  return new Set(byScore('shielded', ids).slice(0, count));
}

/**
 * Chooses the upstream on which a request costs least, among those that take
 * work and were not tried before.
 */
export function choose(
  ask: Ask,
  candidates: readonly Candidate[],
  pace: Pace,
  random: () => number,
): Choice {
  const untried = candidates.filter(({id}) => !ask.tried.has(id));
  const sound = untried.filter(({out}) => !out);
  const usable = sound.length > 0 ? sound : untried;
  if (usable.length === 0) return {type: 'none'};
  const open = usable.filter(
    ({full, inflight, slots}) => !full && inflight < slots,
  );
  if (open.length === 0) return {type: 'full'};
  const ids = candidates.map(({id}) => id);
  const shielded = shieldedIds(ids, pace.shielded);
  const home = homeOf(ask, ids, shielded);
  const weighed = open.map(candidate => {
    const isHome = candidate.id === home;
    const freshTokens = freshOf(ask, candidate, isHome);
    const costMs =
      ask.prompt === undefined
        ? plainCost(candidate, pace)
        : engineCost(ask, candidate, freshTokens, pace, shielded);
    return {candidate, freshTokens, costMs: costMs + random()};
  });
  const best = weighed.reduce((a, b) => (b.costMs < a.costMs ? b : a));
  return {
    type: 'chosen',
    id: best.candidate.id,
    costMs: Math.round(best.costMs),
    freshTokens: best.freshTokens,
    weighed: weighed.length,
  };
}

/** The upstream that all instances presume to hold a prompt's shared parts. */
function homeOf(
  {prompt, sensitive}: Ask,
  ids: readonly string[],
  shielded: ReadonlySet<string>,
): string | undefined {
  if (prompt === undefined) return undefined;
  const group = ids.filter(id => shielded.has(id) === sensitive);
  return byScore(homeKey(prompt), group.length > 0 ? group : ids)[0];
}

function freshOf(
  {prompt}: Ask,
  {heldTokens}: Candidate,
  isHome: boolean,
): number {
  if (prompt === undefined) return 0;
  const own = prompt.parts.at(-1)?.tokens ?? 0;
  const shared = Math.max(0, prompt.tokens - own);
  const presumed = isHome ? shared * HOME_CONFIDENCE : 0;
  return Math.max(0, prompt.tokens - Math.max(heldTokens, presumed));
}

function plainCost(candidate: Candidate, pace: Pace): number {
  const {inflight, slots, roundTripMs, failing} = candidate;
  const {running, waiting} = othersOf(candidate);
  const load = inflight + running + waiting;
  return roundTripMs + failing * FAILING_MS + (load / slots) * pace.serviceMs;
}

function engineCost(
  {sensitive}: Ask,
  candidate: Candidate,
  freshTokens: number,
  pace: Pace,
  shielded: ReadonlySet<string>,
): number {
  const {inflight, prefillTokens, roundTripMs, failing, id} = candidate;
  const {running, waiting} = othersOf(candidate);
  const tokens = freshTokens + prefillTokens;
  const isShielded = shielded.has(id);
  const apart = sensitive
    ? isShielded
      ? 0
      : SHIELD_MS
    : isShielded
      ? INTRUSION_MS
      : 0;
  return (
    roundTripMs +
    tokens / pace.tokensPerMs +
    (inflight + running + waiting) * NEIGHBOUR_MS +
    failing * FAILING_MS +
    apart
  );
}

/** What others have there; counts less the older it is. */
function othersOf({others}: Candidate): {running: number; waiting: number} {
  if (others === undefined) return {running: 0, waiting: 0};
  const trust = 2 ** (-others.ageMs / LOAD_HALF_LIFE_MS);
  return {running: others.running * trust, waiting: others.waiting * trust};
}
