import type {ParsedRequest} from '../request/index.js';
import type {UpstreamSubset} from '../upstream/index.js';
import {prefixKey, type QueueEntry} from './queueentry.js';
import {
  totalInflight,
  slotsOf,
  type LatencyEstimate,
} from './latencyestimate.js';

/**
 * Weight of the delay that a prefill causes to the other requests in the
 * batch, relative to the latency of the request itself.
 */
const PREFILL_INTERFERENCE_WEIGHT = 6;
/** Cost of a full batch over an empty one, in decoding steps. */
const FULL_BATCH_PENALTY_STEPS = 2;
/** Share of the prefill assumed to be saved on the owner of a prefix. */
const ASSUMED_CACHED_SHARE = 0.6;

/**
 * Cost of selecting an upstream, in ms: the latency of the request itself and
 * the delay that it causes to other requests there.
 */
export function selectionCostMs(
  estimate: LatencyEstimate,
  {work}: QueueEntry,
): number {
  const {prefillMs, upstream} = estimate;
  const occupancy = totalInflight(upstream) / slotsOf(upstream);
  const occupancyPenaltyMs =
    FULL_BATCH_PENALTY_STEPS *
    occupancy *
    upstream.observed.latency.interTokenMs;
  const interferenceMs = PREFILL_INTERFERENCE_WEIGHT * prefillMs;
  return ownLatencyMs(estimate, work) + interferenceMs + occupancyPenaltyMs;
}

/**
 * Expected latency of the request itself, in ms, weighted by the targets of its
 * class. With a first-token target but no completion target, the completion
 * time only counts as far as a decoding step takes more than half of the
 * target for the time between tokens.
 */
function ownLatencyMs(
  {firstTokenMs, completionMs, upstream}: LatencyEstimate,
  work: ParsedRequest,
): number {
  const {targets} = work.serviceClass;
  const {interTokenMs: stepMs} = upstream.observed.latency;
  const stepToTargetRatio = stepMs / (targets.betweenTokensMs ?? Infinity);
  const slowDecodingMs = completionMs * Math.max(0, 2 * stepToTargetRatio - 1);
  if (targets.firstTokenMs === undefined) return completionMs;
  if (targets.completionMs === undefined) return firstTokenMs + slowDecodingMs;
  const share = targets.firstTokenMs / targets.completionMs;
  return firstTokenMs + share * completionMs;
}

/**
 * Lowers the estimate of the upstream that owns the prefix on the
 * consistent-hash ring if no upstream is known to have the prefix cached.
 * Other instances send the prefix to the same owner, so it is likely to have
 * it.
 */
export function assumeCachedOnOwner(
  estimates: LatencyEstimate[],
  entry: QueueEntry,
  {ring}: UpstreamSubset,
): LatencyEstimate[] {
  const key = prefixKey(entry);
  if (key === undefined) return estimates;
  if (estimates.some(({cachedTokens}) => cachedTokens > 0)) return estimates;
  const [owner] = ring.lookup(key, 1);
  return estimates.map(estimate => {
    const {upstream, firstTokenMs, prefillMs} = estimate;
    if (upstream.name !== owner) return estimate;
    const savedMs = prefillMs * ASSUMED_CACHED_SHARE;
    return {
      ...estimate,
      firstTokenMs: firstTokenMs - savedMs,
      prefillMs: prefillMs - savedMs,
    };
  });
}
