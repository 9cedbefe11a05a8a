import type {Logger} from 'pino';
import {LogEvent} from '../telemetry/logevent.js';
import type {Endpoint} from './endpoint.js';
import {tokensUpTo, type LoadView} from './load.js';
import type {PlacementDecision} from './placement.js';
import type {PlacementResult} from './placementrequest.js';
import type {QueueEntry} from './queueentry.js';

/** The chosen upstream, before the request is placed there. */
export interface PlacementTarget {
  endpoint: Endpoint;
  /** Load of other instances on it. */
  remoteLoad: LoadView & {ageMs: number};
}

/** Logs that a request was placed at `now`, in monotonic ms. */
export function logPlacement(
  logger: Logger,
  {request, enqueuedAt}: QueueEntry,
  decision: PlacementDecision & {type: 'chosen'},
  {endpoint, remoteLoad}: PlacementTarget,
  now: number,
): void {
  const ownLoad = endpoint.ownLoad.view(now);
  logger.info(
    {
      event: LogEvent.Placed,
      request: request.requestId,
      tier: request.tier,
      upstream: decision.id,
      softwareVersion: endpoint.entry.softwareVersion,
      resumes: request.resumedRequest,
      waitedMs: Math.round(now - enqueuedAt),
      costMs: decision.costMs,
      freshTokens: Math.round(decision.freshTokens),
      inflight: [ownLoad.inflight, remoteLoad.inflight],
      recentTokens: [ownLoad, remoteLoad].map(({recent}) =>
        Math.round(tokensUpTo(recent, request.tier)),
      ),
      othersAgeMs: Math.round(remoteLoad.ageMs),
      weighed: decision.candidateCount,
    },
    'Placed the request on the upstream with the lowest cost.',
  );
}

/** Logs at `now`, in monotonic ms, that a request would wait for too long. */
export function logRejection(
  logger: Logger,
  {request, enqueuedAt}: QueueEntry,
  {cause, retryAfterMs}: PlacementResult & {type: 'notRun'},
  waitMs: number,
  now: number,
): void {
  logger.info(
    {
      event: LogEvent.Overloaded,
      request: request.requestId,
      tier: request.tier,
      cause,
      waitedMs: Math.round(now - enqueuedAt),
      waitMs: Math.round(waitMs),
      leftMs: Math.round(request.deadlineAt - now),
      retryAfterMs: Math.round(retryAfterMs),
    },
    'Refused: the request would not be answered in time.',
  );
}
