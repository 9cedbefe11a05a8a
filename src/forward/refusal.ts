/** Why the instance itself ends a request without an upstream's answer. */
export type Refusal =
  | {type: 'notReady'}
  /** The instance stops before the request could be answered. */
  | {type: 'leaving'}
  | {type: 'unknownRoute'}
  | {type: 'unauthenticated'}
  | {type: 'headTooLarge'; limitBytes: number}
  | {type: 'bodyTooLarge'; limitBytes: number}
  /** The caller's connection ended before the request was whole. */
  | {type: 'incomplete'}
  /** Nothing of the request was run, and nothing will be. */
  | {type: 'notRun'; cause: NotRunCause; retryAfterMs: number}
  /** The request may have run. */
  | {type: 'broken'; cause: string}
  /** The time of the request is over, and it may have run. */
  | {type: 'timedOut'};

/** Why a request was not run. */
export enum NotRunCause {
  /** No upstream of the service takes work. */
  NoUpstream = 'no_upstream',
  /** It would not be answered in time. */
  Overloaded = 'overloaded',
  /** Its time passed while it waited. */
  Waited = 'waited',
  /** Every upstream that was asked refused it. */
  Refused = 'refused',
  /** No connection to an upstream could be opened. */
  Unreachable = 'unreachable',
}

/** The HTTP status of a refusal. */
export function refusalStatus(refusal: Refusal): number {
  switch (refusal.type) {
    case 'unauthenticated':
      return 401;
    case 'unknownRoute':
      return 404;
    case 'bodyTooLarge':
      return 413;
    case 'headTooLarge':
      return 431;
    case 'incomplete':
      return 400;
    case 'broken':
      return 502;
    case 'notReady':
    case 'leaving':
    case 'notRun':
      return 503;
    case 'timedOut':
      return 504;
  }
}

/** Time after which an instance without a configuration may have one, in ms. */
const NOT_READY_RETRY_MS = 300;

/** A caller that is turned away by one instance can go to another at once. */
const LEAVING_RETRY_MS = 20;

/** When the caller should come back, in ms; undefined if that is no use. */
export function refusalRetryMs(refusal: Refusal): number | undefined {
  switch (refusal.type) {
    case 'notRun':
      return refusal.retryAfterMs;
    case 'notReady':
      return NOT_READY_RETRY_MS;
    case 'leaving':
      return LEAVING_RETRY_MS;
    case 'unauthenticated':
    case 'unknownRoute':
    case 'bodyTooLarge':
    case 'headTooLarge':
    case 'incomplete':
    case 'broken':
    case 'timedOut':
      return undefined;
  }
}
