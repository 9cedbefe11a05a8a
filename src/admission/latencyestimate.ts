import {TOKENS_PER_BLOCK, type Upstream} from '../upstream/index.js';
import type {Route} from '../zone/index.js';
import type {QueueEntry} from './queueentry.js';

/** Multiple of the unloaded latency after which a silent attempt alarms. */
const STALL_FACTOR = 4;
const STALL_FLOOR_MS = 100;
/** Slots assumed of an upstream that does not tell. */
const PRIOR_SLOTS = 32;

/** What is expected of one upstream for one request. */
export interface LatencyEstimate {
  upstream: Upstream;
  route: Route;
  /** Time to the first token, in ms. */
  firstTokenMs: number;
  /** Time to the end of the answer, in ms. */
  completionMs: number;
  /** Time to compute the part of the prompt that is not cached, in ms. */
  prefillMs: number;
  /** Prompt tokens counted on in the prefix cache. */
  cachedTokens: number;
}

/** Attempts of all instances on an upstream, from reports and own attempts. */
export function totalInflight(upstream: Upstream): number {
  return upstream.inflight + othersOf(upstream);
}

/** Attempts of other instances when the upstream last reported. */
function othersOf({load, observed: condition}: Upstream): number {
  if (load === undefined) return 0;
  const reported = load.running + load.waiting;
  return Math.max(0, reported - condition.inflightAtReport);
}

/** Requests an upstream runs at once. */
export function slotsOf(upstream: Upstream): number {
  return upstream.load?.slots ?? PRIOR_SLOTS;
}

/** Expects times of a request on an upstream, from all that is known. */
export function estimateLatency(
  entry: QueueEntry,
  upstream: Upstream,
  route: Route,
  answerTokens: number,
  now: number,
): LatencyEstimate {
  const {latency: speed, cache} = upstream.observed;
  const match = cache.match(entry.blocks);
  const cached = match.blocks * TOKENS_PER_BLOCK * match.confidence;
  const cachedTokens = Math.min(cached, Math.max(0, entry.promptTokens - 1));
  const computedTokens = entry.promptTokens - cachedTokens;
  const prefillMs = computedTokens * speed.prefillMsPerToken;
  const firstTokenMs =
    2 * route.oneWayMs +
    speed.interTokenMs +
    prefillMs +
    prefillAheadMs(upstream) +
    queueMs(upstream) +
    stallMs(upstream, now);
  const completionMs =
    entry.work.demand.type === 'service'
      ? firstTokenMs
      : firstTokenMs + answerTokens * speed.interTokenMs;
  return {
    upstream,
    route,
    firstTokenMs,
    completionMs,
    prefillMs,
    cachedTokens,
  };
}

/** Time to compute the prompts that own attempts still wait for. */
function prefillAheadMs({observed: condition}: Upstream): number {
  return condition.pendingPrefillTokens * condition.latency.prefillMsPerToken;
}

/** Time until a slot is free. */
function queueMs(upstream: Upstream): number {
  const slots = slotsOf(upstream);
  const excess = totalInflight(upstream) - slots + 1;
  if (excess <= 0) return 0;
  return (excess * upstream.observed.latency.meanAttemptMs) / slots;
}

/** Time by which the oldest attempt without an answer is overdue. */
function stallMs({observed: condition}: Upstream, now: number): number {
  const pendingMs = condition.oldestPrefillAgeMs(now);
  const allowedMs = condition.latency.unloadedFirstTokenMs(
    condition.pendingPrefillTokens,
  );
  return pendingMs > STALL_FLOOR_MS + STALL_FACTOR * allowedMs ? pendingMs : 0;
}
