/** The outcome of a request as reported to its caller. */
export enum Outcome {
  /** The request ran to its end and its answer was complete. */
  Completed = 'completed',
  /** The request did not run and never will. */
  NotRun = 'not_run',
  /** The request ran, or may have run in part, and ended in a known error. */
  Failed = 'failed',
  /** It is unknown whether the request ran. */
  Unknown = 'unknown',
}

/** Header that carries the [[Outcome]] of a request. */
export const OUTCOME_HEADER = 'gypsumcourse-outcome';
/** Header that carries the id of a request. */
export const REQUEST_ID_HEADER = 'gypsumcourse-request-id';
/** Name of the last event of a streamed answer, which has the [[Outcome]]. */
export const OUTCOME_EVENT = 'gypsumcourse.outcome';

/** Why a request got no complete answer, as reported to its caller. */
export type Failure =
  | {type: 'badRequest'; reason: string}
  | {type: 'unauthenticated'}
  | {type: 'forbiddenClass'; name: string}
  | {type: 'unknownModel'; model: string}
  | {type: 'unknownService'; service: string}
  | {type: 'unknownPath'; path: string}
  | {type: 'bodyTooLarge'; limitBytes: number}
  /** The request body did not arrive within `limitMs`. */
  | {type: 'slowCaller'; limitMs: number}
  /** The instance has no configuration yet. */
  | {type: 'notReady'}
  | {type: 'draining'}
  | {type: 'overloaded'; retryAfterMs: number}
  /** The limit of the request's class or workspace is reached. */
  | {type: 'limited'; scope: 'class' | 'workspace'; retryAfterMs: number}
  | {type: 'noUpstream'; retryAfterMs: number}
  | {type: 'deadlineExceeded'}
  /** The idempotency key was issued before the retention period. */
  | {type: 'keyExpired'}
  /** The idempotency key has no valid time of issue. */
  | {type: 'keyUndated'}
  /** The idempotency key was used with another method, path or body. */
  | {type: 'keyConflict'}
  | {type: 'claimsUnavailable'; retryAfterMs: number}
  | {type: 'claimedElsewhere'; retryAfterMs: number}
  /** The attempt that held the key ended with this failure. */
  | {type: 'earlierAttempt'; cause: string}
  /** The request completed under its key, but its answer is unavailable. */
  | {type: 'answerGone'}
  /** The upstream stated that it didn't run the request. */
  | {type: 'upstreamRefused'; status: number; retryAfterMs?: number}
  /** The upstream's own error response, which is passed to the caller. */
  | {
      type: 'upstreamRejected';
      status: number;
      contentType: string;
      body: string;
    }
  /** The upstream answered with a server error or 408. */
  | {type: 'upstreamFailed'; status: number}
  | {type: 'upstreamLost'; cause: string}
  /** The upstream sent nothing for `limitMs`. */
  | {type: 'upstreamSilent'; limitMs: number}
  /** The response carried the id of another request. */
  | {type: 'wrongAnswer'}
  /** The resume token is invalid or has expired. */
  | {type: 'invalidToken'}
  /** The upstream no longer buffers the broken stream. */
  | {type: 'streamLost'}
  /** The caller disconnected. */
  | {type: 'cancelled'};

/** Outcome and failure of a request that did not complete. */
export interface FailureConclusion {
  outcome: Exclude<Outcome, Outcome.Completed>;
  failure: Failure;
}

/** Outcome of a request, with the failure if there was one. */
export type Conclusion =
  | {outcome: Outcome.Completed; failure?: {type: 'answerGone'}}
  | FailureConclusion;

/** Returns the failure of a conclusion, or undefined if it has none. */
export function failureOf(conclusion: Conclusion): Failure | undefined {
  return conclusion.failure;
}

/** Returns the HTTP status of the response to a failed request. */
export function httpStatusOf(failure: Failure): number {
  switch (failure.type) {
    case 'badRequest':
    case 'keyUndated':
      return 400;
    case 'unauthenticated':
      return 401;
    case 'invalidToken':
    case 'forbiddenClass':
      return 403;
    case 'unknownModel':
    case 'unknownService':
    case 'unknownPath':
      return 404;
    case 'slowCaller':
      return 408;
    case 'keyExpired':
    case 'claimedElsewhere':
      return 409;
    case 'answerGone':
      return 410;
    case 'bodyTooLarge':
      return 413;
    case 'keyConflict':
      return 422;
    case 'limited':
      return 429;
    case 'upstreamRefused':
    case 'upstreamRejected':
      return failure.status;
    case 'earlierAttempt':
    case 'upstreamFailed':
    case 'upstreamLost':
    case 'wrongAnswer':
    case 'streamLost':
      return 502;
    case 'notReady':
    case 'draining':
    case 'overloaded':
    case 'noUpstream':
    case 'claimsUnavailable':
      return 503;
    case 'deadlineExceeded':
    case 'upstreamSilent':
      return 504;
    case 'cancelled':
      return 499;
  }
}

/** Returns the error message for the caller. */
export function describeFailure(failure: Failure): string {
  switch (failure.type) {
    case 'badRequest':
      return `The request is malformed: ${failure.reason}.`;
    case 'unauthenticated':
      return 'The workspace key is missing or unknown.';
    case 'forbiddenClass':
      return `The workspace may not use class "${failure.name}".`;
    case 'unknownModel':
      return `No pool serves model "${failure.model}".`;
    case 'unknownService':
      return `There is no service "${failure.service}".`;
    case 'unknownPath':
      return `The path "${failure.path}" does not exist.`;
    case 'bodyTooLarge':
      return `The body is larger than ${failure.limitBytes} bytes.`;
    case 'slowCaller':
      return `The request did not arrive within ${failure.limitMs} ms.`;
    case 'notReady':
      return 'This instance has no configuration yet.';
    case 'draining':
      return 'This instance is shutting down.';
    case 'overloaded':
      return 'There is not enough capacity for the request.';
    case 'limited':
      return `The limit of the ${failure.scope} is reached.`;
    case 'noUpstream':
      return 'No upstream takes work at the moment.';
    case 'deadlineExceeded':
      return 'The deadline of the request has passed.';
    case 'keyExpired':
      return 'The idempotency key is older than the retention period.';
    case 'keyUndated':
      return (
        'The idempotency key has no valid time of issue; use a UUIDv7 or ' +
        'the header gypsumcourse-key-time.'
      );
    case 'keyConflict':
      return 'The idempotency key was used with another body.';
    case 'claimsUnavailable':
      return 'Idempotency keys cannot be claimed at the moment.';
    case 'claimedElsewhere':
      return 'The idempotency key was claimed by another attempt.';
    case 'earlierAttempt':
      return `The attempt that held the key ended with ${failure.cause}.`;
    case 'answerGone':
      return 'The request completed, but its answer is no longer available.';
    case 'upstreamRejected':
      return `The upstream answered with ${failure.status}.`;
    case 'invalidToken':
      return 'The resume token is invalid or has expired.';
    case 'streamLost':
      return 'The upstream no longer buffers the stream.';
    case 'upstreamRefused':
      return `The upstream refused the request with ${failure.status}.`;
    case 'upstreamFailed':
      return `The upstream failed with ${failure.status}.`;
    case 'upstreamLost':
      return 'The connection to the upstream was lost.';
    case 'upstreamSilent':
      return `The upstream sent nothing for ${failure.limitMs} ms.`;
    case 'wrongAnswer':
      return 'The upstream returned the answer to another request.';
    case 'cancelled':
      return 'The caller disconnected.';
  }
}

/** Returns the delay in ms for a retry; undefined if none is advised. */
export function retryAfterMs(failure: Failure): number | undefined {
  return 'retryAfterMs' in failure ? failure.retryAfterMs : undefined;
}
