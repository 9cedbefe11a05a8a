import type {Endpoint} from './endpoint.js';
import type {Trial} from './pause.js';
import type {PlacementQuery} from './placement.js';
import {HELD_RETRY_MS, NotRunCause} from './refusal.js';

/** A request that needs an upstream. */
export interface PlacementRequest extends Omit<PlacementQuery, 'yields'> {
  requestId: string;
  /** Id of the request that began the stream, if the caller takes one up. */
  resumedRequest?: string;
  /**
   * Software version that its upstream must have, as it wrote the stream so far;
   * any if absent.
   */
  softwareVersion?: string;
  /** Route, whose requests have similar durations. */
  routeName: string;
  tier: number;
  /** Time by which the objective is to be met, in monotonic ms. */
  dueAt: number;
  /** Deadline after which the caller no longer waits, in monotonic ms. */
  deadlineAt: number;
  signal: AbortSignal;
  /** Whether its prompt has a part that crashes upstreams. */
  isHeld(): boolean;
  /** Whether it has a part of which requests are forwarded one at a time. */
  isRationed(): boolean;
}

/** The upstream that a request was assigned to. */
export interface Placement {
  endpoint: Endpoint;
  /** Prompt tokens that are not cached there and need prefill. */
  freshTokens: number;
  /** Estimated prefill time, in ms. */
  prefillMs: number;
  /** Present if the request shows whether a pause of the upstream is over. */
  trial?: Trial;
}

/** How the wait for an upstream ends; `gone`: the request was aborted. */
export type PlacementResult =
  | ({type: 'placed'} & Placement)
  | {type: 'notRun'; cause: NotRunCause; retryAfterMs: number}
  | {type: 'gone'};

/** Result of [[WaitQueue.acquire]]; `rationed`: it has to wait for a turn. */
export type QueueResult = PlacementResult | {type: 'rationed'};

/** What keeps a request from upstreams for the parts that it has, if any. */
export function withheldFor(
  request: Pick<PlacementRequest, 'isHeld' | 'isRationed'>,
): QueueResult | undefined {
  if (request.isHeld()) {
    return {
      type: 'notRun',
      cause: NotRunCause.Held,
      retryAfterMs: HELD_RETRY_MS,
    };
  }
  return request.isRationed() ? {type: 'rationed'} : undefined;
}

/** The upstreams whose software version is that of the request, if it has one. */
export function withVersionOf(
  {softwareVersion}: PlacementRequest,
  endpoints: readonly Endpoint[],
): readonly Endpoint[] {
  if (softwareVersion === undefined) return endpoints;
  return endpoints.filter(
    ({entry}) => entry.softwareVersion === softwareVersion,
  );
}

/** Whether the request is placed regardless of the prefill load. */
export function ignoresLoad({
  prompt,
  pauseSensitive,
  answerStarted,
}: PlacementRequest): boolean {
  return prompt === undefined || pauseSensitive || answerStarted;
}

/**
 * Orders by tier, then requests that can still meet their objective, then by
 * due time.
 */
export function compareUrgency(
  a: PlacementRequest,
  b: PlacementRequest,
  now: number,
): number {
  if (a.tier !== b.tier) return a.tier - b.tier;
  const [isLate, isOtherLate] = [a.dueAt < now, b.dueAt < now];
  if (isLate !== isOtherLate) return isLate ? 1 : -1;
  return a.dueAt - b.dueAt;
}
