import {
  eventDataOf,
  isStream,
  lastingKeyOf,
  PATIENCE_MS,
  RequestKind,
  softwareVersionIn,
  textOf,
  WORKSPACES,
} from './deployment.js';
import type {Arrival, SentRequest} from './history.js';

const BAD_GATEWAY = 502;
const DENIALS = new Set([401, 403, 404]);

/** How the events of a stream differ from what they should be. */
export function describeEvents(request: SentRequest): string | undefined {
  const {id, kind, outcome, lastEvent, events: total} = request;
  if (!isStream(kind) || outcome?.type !== 'answered') return undefined;
  if (outcome.status !== 200) return undefined;
  const {events, complete} = outcome;
  for (const [index, event] of events.entries()) {
    const expected = lastEvent + index + 1;
    if (event.id !== expected) return `event ${event.id} for ${expected}`;
    const version = softwareVersionIn(event.data);
    if (event.data !== eventDataOf(id, expected, version)) {
      return `event ${event.id} with the data ${event.data}`;
    }
  }
  const last = lastEvent + events.length;
  return complete && last !== total
    ? `complete after event ${last} of ${total}`
    : undefined;
}

/** How an answer differs from that of the upstream that it claims to be of. */
export function describeAnswer(
  {id, kind, outcome}: SentRequest,
  arrivals: readonly Arrival[],
): string | undefined {
  if (outcome?.type !== 'answered') return undefined;
  const {status, seal, echoedId, body, complete, events} = outcome;
  const isSuccess = status >= 200 && status < 300;
  const source = arrivals.find(arrival => arrival.seal === seal);
  if (seal !== undefined && source === undefined) {
    return `answer of another request, seal ${seal}`;
  }
  if (source !== undefined && source.status !== status) {
    return `status ${status}, but the upstream answered ${source.status}`;
  }
  if (!isSuccess) return undefined;
  if (source === undefined) return 'success without a seal';
  if (echoedId !== id) return `success with the id ${echoedId}`;
  if (complete && source.isEndless === true && !isStream(kind)) {
    return 'complete with bytes that are no answer';
  }
  if (source.size === undefined) return undefined;
  const whole = textOf(source.seal, source.size);
  if (complete && body !== whole) {
    return `complete with ${body.length} of ${whole.length} characters`;
  }
  const isPart = whole.startsWith(body) && events.length === 0;
  return isPart ? undefined : 'characters of another answer';
}

/** Denials of what every configuration allows. */
export function describeDenial(request: SentRequest): string | undefined {
  const {outcome} = request;
  if (outcome?.type !== 'answered' || outcome.seal !== undefined) return;
  const isDenied = DENIALS.has(outcome.status) && isAlwaysAllowed(request);
  return isDenied ? `denied with ${outcome.status}` : undefined;
}

/** Whether every configuration of the run allows a request. */
function isAlwaysAllowed({kind, key}: SentRequest): boolean {
  const isLasting = WORKSPACES.some(name => lastingKeyOf(name) === key);
  return kind === RequestKind.Public || isLasting;
}

/** Whether a request crashes upstreams. */
export function isBad({prompt, badRequest}: SentRequest): boolean {
  return prompt?.badPart !== undefined || badRequest !== undefined;
}

/** Whether an undisturbed deployment must serve a request. */
export function mustBeServed(request: SentRequest): boolean {
  const {outcome} = request;
  if (isBad(request) || request.cutAfterMs !== undefined) return false;
  return isAlwaysAllowed(request) && outcome?.type !== 'left';
}

/**
 * Whether a request ended without a whole answer. With an upstream that was
 * `silent`, a 502 of the gateway counts too, and the end of its time doesn't.
 */
export function isUnanswered(
  {outcome, sentAt, cutAfterMs}: SentRequest,
  silent: boolean,
): boolean {
  if (outcome === undefined || outcome.type === 'left') return false;
  if (cutAfterMs !== undefined) return false;
  if (silent && outcome.endedAt - sentAt >= PATIENCE_MS) return false;
  if (outcome.type === 'failed' || !outcome.complete) return true;
  const {status, seal} = outcome;
  return silent && status === BAD_GATEWAY && seal === undefined;
}

export function isServed({outcome}: SentRequest): boolean {
  return (
    outcome?.type === 'answered' && outcome.status === 200 && outcome.complete
  );
}
