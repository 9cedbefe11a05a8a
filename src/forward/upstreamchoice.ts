import {candidateOf} from './candidate.js';
import type {Endpoint} from './endpoint.js';
import {
  chooseUpstream,
  type PlacementDecision,
  type SpeedEstimate,
} from './placement.js';
import {withVersionOf, type PlacementRequest} from './placementrequest.js';
import type {WaitQueueDependencies} from './waitqueuedependencies.js';

/** Which upstream a request would be placed on, or why on none. */
export interface UpstreamChoice {
  decision: PlacementDecision;
  /** Present if one is chosen. */
  endpoint?: Endpoint;
  estimate: SpeedEstimate;
}

/**
 * Chooses an upstream for a request, without placing it there. `yields`: whether
 * a more urgent request waits.
 */
export function chooseFor(
  request: PlacementRequest,
  yields: boolean,
  dependencies: WaitQueueDependencies,
): UpstreamChoice {
  const {timer, random, speeds} = dependencies;
  const now = timer.now();
  const endpoints = withVersionOf(request, dependencies.endpoints());
  const candidates = endpoints.map(endpoint =>
    candidateOf(endpoint, request, dependencies, now),
  );
  const estimate = speeds.estimate(endpoints.length);
  const query = {...request, yields};
  const decision = chooseUpstream(query, candidates, estimate, random);
  const endpoint =
    decision.type === 'chosen'
      ? endpoints.find(({id}) => id === decision.id)
      : undefined;
  return {decision, estimate, ...(endpoint === undefined ? {} : {endpoint})};
}

/** The request, to be placed on healthy upstreams that are accepted. */
export function among(
  accepts: (endpoint: Endpoint) => boolean,
  request: PlacementRequest,
  dependencies: WaitQueueDependencies,
): PlacementRequest {
  const now = dependencies.timer.now();
  const excluded = dependencies
    .endpoints()
    .filter(endpoint => endpoint.health.isEjected(now) || !accepts(endpoint));
  return excluding(request, excluded);
}

/** The request, to be placed on none of `endpoints`. */
function excluding(
  request: PlacementRequest,
  endpoints: readonly Endpoint[],
): PlacementRequest {
  const ids = endpoints.map(({id}) => id);
  const triedUpstreams = new Set([...request.triedUpstreams, ...ids]);
  return {...request, triedUpstreams};
}

/**
 * Upstreams that a request could be placed on, the one that would be chosen
 * first; at most `count`.
 */
export function preferredFor(
  request: PlacementRequest,
  count: number,
  dependencies: WaitQueueDependencies,
): Endpoint[] {
  const preferred: Endpoint[] = [];
  while (preferred.length < count) {
    const remaining = excluding(request, preferred);
    const {endpoint} = chooseFor(remaining, false, dependencies);
    if (endpoint === undefined) break;
    preferred.push(endpoint);
  }
  return preferred;
}
