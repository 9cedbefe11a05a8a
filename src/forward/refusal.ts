/** Why the instance ends a request without forwarding a response. */
export type Refusal =
  | {type: 'notReady'}
  /** The instance will stop before the request could finish. */
  | {type: 'leaving'}
  | {type: 'unknownRoute'}
  | {type: 'unauthenticated'}
  | {type: 'headTooLarge'; limitBytes: number}
  | {type: 'bodyTooLarge'; limitBytes: number}
  /** The request could not be read completely. */
  | {type: 'incomplete'}
  /** The request did not run and will not run. */
  | {type: 'notRun'; cause: NotRunCause; retryAfterMs: number}
  /** The request may have run. */
  | {type: 'broken'; cause: string}
  /** The deadline passed, and the request may have run. */
  | {type: 'timedOut'};

/** Why a request was not run. */
export enum NotRunCause {
  /** No upstream of the service accepts new requests. */
  NoUpstream = 'no_upstream',
  /** It would not finish before its deadline. */
  Overloaded = 'overloaded',
  /** It waited until its deadline could no longer be met. */
  Waited = 'waited',
  /** Every upstream that was tried refused it. */
  Refused = 'refused',
  /** No connection to an upstream could be opened. */
  Unreachable = 'unreachable',
  /** Every upstream asked for a pause that is too long to wait for. */
  Paused = 'paused',
  /** Every upstream gets as much as it declares that it takes. */
  Limited = 'limited',
  /** No upstream has the software version that began its stream. */
  NoVersion = 'no_version',
  /** Nobody knows which software version began its stream. */
  UnknownVersion = 'unknown_version',
  /** Its prompt has a part that crashes upstreams. */
  Held = 'held',
  /** Its prompt has a part that may crash upstreams, and it met no turn. */
  Rationed = 'rationed',
  /** The bodies of other requests use the memory. */
  NoMemory = 'no_memory',
  /** Its body came in very small chunks, as others did. */
  SmallChunks = 'small_chunks',
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

/** Retry-After of an instance that has no configuration yet, in ms. */
const NOT_READY_RETRY_MS = 300;

/**
 * Retry-After of a request whose prompt is held, in ms. A hold lasts until it is
 * released, so an earlier try is of no use.
 */
export const HELD_RETRY_MS = 60_000;

/** Retry-After of a request that met no turn, in ms: the time of a few turns. */
export const RATIONED_RETRY_MS = 5_000;

/** Retry-After of a stream whose origin isn't known, in ms: a peer may return. */
const UNKNOWN_VERSION_RETRY_MS = 1_000;
/** Refusal of a stream that can't be bound to a software version. */
export const UNKNOWN_VERSION: Refusal = {
  type: 'notRun',
  cause: NotRunCause.UnknownVersion,
  retryAfterMs: UNKNOWN_VERSION_RETRY_MS,
};

/** Refusal of a request whose deadline passed before it was served. */
export const EXPIRED: Refusal = {
  type: 'notRun',
  cause: NotRunCause.Waited,
  retryAfterMs: 0,
};

/** Retry-After of a body that is too much beside others, in ms. */
const BODY_RETRY_MS = 1_000;
/** Refusal of a request whose body finds no memory. */
export const NO_MEMORY: Refusal = {
  type: 'notRun',
  cause: NotRunCause.NoMemory,
  retryAfterMs: BODY_RETRY_MS,
};
/** Refusal of a request whose body comes in very small chunks. */
export const SMALL_CHUNKS: Refusal = {
  type: 'notRun',
  cause: NotRunCause.SmallChunks,
  retryAfterMs: BODY_RETRY_MS,
};

/** Retry-After of a stopping instance, in ms; others accept at once. */
const LEAVING_RETRY_MS = 20;

/** Retry-After in ms; undefined if a retry would not help. */
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
