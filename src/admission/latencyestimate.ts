import {TOKENS_PER_BLOCK, type Upstream} from '../upstream/index.js';
import type {Route} from '../zone/index.js';
import type {QueueEntry} from './queueentry.js';

/**
 * An upstream counts as stalled when an attempt has waited for its first token
 * for longer than `MIN_STALL_MS` plus this multiple of the unloaded latency.
 */
const STALL_FACTOR = 4;
const MIN_STALL_MS = 100;
/** Slots assumed for an upstream that does not report their number. */
const DEFAULT_SLOTS = 32;

/** Expected latency of a request on an upstream, if it started now. */
export interface LatencyEstimate {
  upstream: Upstream;
  route: Route;
  /** Time to the first token, in ms. */
  firstTokenMs: number;
  /** Time to the end of the answer, in ms. */
  completionMs: number;
  /** Time to compute the part of the prompt that is not cached, in ms. */
  prefillMs: number;
  /**
   * Prompt tokens expected in the upstream's prefix cache, weighted by the
   * confidence of the match.
   */
  cachedTokens: number;
}

/** Inflight attempts of all instances on an upstream, as far as known. */
export function totalInflight(upstream: Upstream): number {
  return upstream.inflight + inflightOfOthers(upstream);
}

/**
 * Inflight attempts of other instances: the load of the last report without
 * this instance's attempts at that time.
 */
function inflightOfOthers({load, observed: condition}: Upstream): number {
  if (load === undefined) return 0;
  const reported = load.running + load.waiting;
  return Math.max(0, reported - condition.inflightAtReport);
}

/** Number of requests that an upstream runs concurrently. */
export function slotsOf(upstream: Upstream): number {
  return upstream.load?.slots ?? DEFAULT_SLOTS;
}

/**
 * Estimates the latency of a request on an upstream from its learnt speed,
 * prefix cache and load, and the network latency.
 */
export function estimateLatency(
  entry: QueueEntry,
  upstream: Upstream,
  route: Route,
  answerTokens: number,
  now: number,
): LatencyEstimate {
  const {latency: speed, cache} = upstream.observed;
  const match = cache.match(entry.blocks);
  const matchedTokens = match.blocks * TOKENS_PER_BLOCK * match.confidence;
  const cachedTokens = Math.min(
    matchedTokens,
    Math.max(0, entry.promptTokens - 1),
  );
  const uncachedTokens = entry.promptTokens - cachedTokens;
  const prefillMs = uncachedTokens * speed.prefillMsPerToken;
  const firstTokenMs =
    2 * route.oneWayMs +
    speed.interTokenMs +
    prefillMs +
    pendingPrefillMs(upstream) +
    slotWaitMs(upstream) +
    stallPenaltyMs(upstream, now);
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

/** Prefill time of this instance's attempts that have no first token yet. */
function pendingPrefillMs({observed: condition}: Upstream): number {
  return condition.pendingPrefillTokens * condition.latency.prefillMsPerToken;
}

/** Expected wait for a free slot, in ms. */
function slotWaitMs(upstream: Upstream): number {
  const slots = slotsOf(upstream);
  const excess = totalInflight(upstream) - slots + 1;
  if (excess <= 0) return 0;
  return (excess * upstream.observed.latency.meanAttemptMs) / slots;
}

/** Age of the oldest attempt without a first token if stalled, else 0. */
function stallPenaltyMs({observed: condition}: Upstream, now: number): number {
  const pendingMs = condition.oldestPrefillAgeMs(now);
  const allowedMs = condition.latency.unloadedFirstTokenMs(
    condition.pendingPrefillTokens,
  );
  return pendingMs > MIN_STALL_MS + STALL_FACTOR * allowedMs ? pendingMs : 0;
}
