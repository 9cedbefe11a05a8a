import type {Endpoint} from './endpoint.js';
import {tokensUpTo, type LoadView} from './load.js';
import {Admission} from './pause.js';
import type {Candidate} from './placement.js';
import type {PlacementRequest} from './placementrequest.js';

/** What [[candidateOf]] needs beside the upstream's own state. */
export interface CandidateSources {
  /** Load of other instances on an upstream. */
  remoteLoadOf(upstream: string): LoadView;
  /** Network round trip to a zone, in ms. */
  roundTripMs(zone: string): number;
}

/** State of an upstream as a candidate for a request, at `now` in monotonic ms. */
export function candidateOf(
  endpoint: Endpoint,
  {prompt, tier}: PlacementRequest,
  sources: CandidateSources,
  now: number,
): Candidate {
  const {health, entry, ownLoad, pause, limit, promptCache, id} = endpoint;
  const admission = pause.admission(now);
  const own = ownLoad.view(now);
  const remote = sources.remoteLoadOf(id);
  return {
    id,
    slots: entry.slots,
    ownInflight: own.inflight,
    inflight: own.inflight + remote.inflight,
    pendingPrefillTokens:
      tokensUpTo(own.unread, tier) + tokensUpTo(remote.unread, tier),
    recentPrefillTokens:
      tokensUpTo(own.recent, tier) + tokensUpTo(remote.recent, tier),
    roundTripMs: sources.roundTripMs(entry.zone),
    failureShare: health.failureShare,
    ejected: health.isEjected(now),
    full: health.isFull(now) || admission === Admission.Trying,
    paused: admission === Admission.Paused,
    limited: !limit.admits(now),
    cachedTokens:
      prompt === undefined ? 0 : (promptCache?.cachedTokens(prompt) ?? 0),
  };
}
