import {RequestKind, requestPart} from '../quarantine/index.js';
import type {Route, RoutingTable} from '../route/index.js';
import type {ResumableStream} from './resumablestream.js';
import type {Deadline} from './deadline.js';
import type {HoldCheck} from './holdcheck.js';
import {isPauseSensitive, prefillShareOf} from './placement.js';
import type {PlacementRequest} from './placementrequest.js';
import type {RequestHead} from './protocol.js';
import type {ServiceState} from './servicestate.js';

/** A request that was read and matched to a route and a service. */
export interface RequestContext {
  request: RequestHead;
  route: Route;
  table: RoutingTable;
  service: ServiceState;
  deadline: Deadline;
  body: Buffer;
  tier: number;
  workspace?: string;
  /** See [[digestOf]]. */
  digest: string;
  /**
   * Ids of what may crash upstreams: the parts of the prompt in order, if there is
   * one, then the request as a whole. The last is of this request alone.
   */
  parts: readonly string[];
  /** Absent if the response is no stream that can be taken up. */
  stream?: ResumableStream;
}

/** See [[RequestContext.parts]]. */
export function partsOf(
  {prompt}: RequestHead,
  digest: string,
): readonly string[] {
  if (prompt === undefined) {
    return [requestPart(RequestKind.Plain, digest), ''];
  }
  const ids = prompt.parts.map(({id}) => id);
  const whole = requestPart(RequestKind.Prompt, digest);
  return [...ids.slice(0, -1), whole, ids.at(-1) ?? ''];
}

/** Whether other requests share a part of the prompt. */
export function sharesPrompt({request}: RequestContext): boolean {
  return (request.prompt?.parts.length ?? 0) > 1;
}

/** What the attempts of a request so far mean for its placement. */
export interface PlacementProgress extends Pick<
  PlacementRequest,
  'triedUpstreams' | 'answerStarted'
> {
  hold: Pick<HoldCheck, 'isHeld' | 'isRationed'>;
  /** Software version that wrote the stream so far, if one did. */
  softwareVersion: string | undefined;
  /** When the request arrived, in monotonic ms. */
  arrivedAt: number;
}

/** Describes a request to the wait queue of its service. */
export function placementRequestOf(
  {request, route, table, tier, deadline, service}: RequestContext,
  {
    arrivedAt,
    triedUpstreams,
    answerStarted,
    hold,
    softwareVersion,
  }: PlacementProgress,
): PlacementRequest {
  const pausesMs = table.targetGapsOf(service.name);
  return {
    requestId: request.id,
    routeName: route.name,
    tier,
    targetMs: route.targetMs,
    prefillShare: prefillShareOf(tier, table.lowestTierOf(service.name)),
    dueAt: arrivedAt + route.targetMs,
    deadlineAt: deadline.at,
    signal: deadline.signal,
    triedUpstreams,
    pauseSensitive: isPauseSensitive(route.targetGapMs, pausesMs),
    answerStarted,
    isHeld: () => hold.isHeld(),
    isRationed: () => hold.isRationed(),
    shortestPauseMs: Math.min(...pausesMs),
    ...(request.prompt === undefined ? {} : {prompt: request.prompt}),
    ...(request.resumedRequest === undefined
      ? {}
      : {resumedRequest: request.resumedRequest}),
    ...(softwareVersion === undefined ? {} : {softwareVersion}),
  };
}
