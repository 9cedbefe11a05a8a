import type {Logger} from 'pino';
import {LogEvent} from '../telemetry/logevent.js';
import {tokensUpTo, type LoadView} from './load.js';
import type {PlacementDecision} from './placement.js';
import type {QueueEntry} from './queueentry.js';

/** Load on the chosen upstream, before the request is placed there. */
export interface LoggedLoad {
  own: LoadView;
  remote: LoadView & {ageMs: number};
}

/** Logs that a request was placed at `now`, in monotonic ms. */
export function logPlacement(
  logger: Logger,
  {request, enqueuedAt}: QueueEntry,
  decision: PlacementDecision & {type: 'chosen'},
  {own, remote}: LoggedLoad,
  now: number,
): void {
  logger.info(
    {
      event: LogEvent.Placed,
      request: request.requestId,
      tier: request.tier,
      upstream: decision.id,
      waitedMs: Math.round(now - enqueuedAt),
      costMs: decision.costMs,
      freshTokens: Math.round(decision.freshTokens),
      inflight: [own.inflight, remote.inflight],
      recentTokens: [own, remote].map(({recent}) =>
        Math.round(tokensUpTo(recent, request.tier)),
      ),
      othersAgeMs: Math.round(remote.ageMs),
      weighed: decision.candidateCount,
    },
    'Placed the request on the upstream with the lowest cost.',
  );
}
