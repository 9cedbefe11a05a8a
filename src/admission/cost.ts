import type {ParsedRequest} from '../request/index.js';
import type {UpstreamSubset} from '../upstream/index.js';
import {prefixKey, type QueueEntry} from './queueentry.js';
import {
  totalInflight,
  slotsOf,
  type LatencyEstimate,
} from './latencyestimate.js';

/**
 * Weight of the time that computing a prompt takes from the other requests of
 * its batch, relative to the time that it takes from its own.
 */
const BATCH_DELAY_WEIGHT = 6;
/** Steps by which a full batch is worse than an empty one. */
const CROWDING_STEPS = 2;
/** Share of a prompt presumed in the cache of the home of its prefix. */
const HOME_PRESUMED_SHARE = 0.6;

/** What choosing an upstream costs this request and others, in ms. */
export function selectionCostMs(
  expectation: LatencyEstimate,
  {work}: QueueEntry,
): number {
  const {prefillMs, upstream} = expectation;
  const occupied = totalInflight(upstream) / slotsOf(upstream);
  const crowdingMs =
    CROWDING_STEPS * occupied * upstream.observed.latency.interTokenMs;
  const batchDelayMs = BATCH_DELAY_WEIGHT * prefillMs;
  return ownTimeOf(expectation, work) + batchDelayMs + crowdingMs;
}

/** Expected time of the request itself that counts for its class, in ms. */
function ownTimeOf(
  {firstTokenMs, completionMs, upstream}: LatencyEstimate,
  work: ParsedRequest,
): number {
  const {targets} = work.serviceClass;
  const {interTokenMs: stepMs} = upstream.observed.latency;
  const pace = stepMs / (targets.betweenTokensMs ?? Infinity);
  const slow = completionMs * Math.max(0, 2 * pace - 1);
  if (targets.firstTokenMs === undefined) return completionMs;
  if (targets.completionMs === undefined) return firstTokenMs + slow;
  const share = targets.firstTokenMs / targets.completionMs;
  return firstTokenMs + share * completionMs;
}

/**
 * Where no upstream is known to hold the prompt's prefix, presumes part of it
 * at the agreed home, since other instances send the prefix there.
 */
export function assumeCachedOnOwner(
  weighed: LatencyEstimate[],
  entry: QueueEntry,
  {ring}: UpstreamSubset,
): LatencyEstimate[] {
  const key = prefixKey(entry);
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
