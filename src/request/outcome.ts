/** What a caller may conclude about a request. The set is closed. */
export enum Outcome {
  /** The whole answer was delivered. */
  Completed = 'completed',
  /** The request did not run and never will. */
  NotRun = 'not_run',
  /** The request ran, or may have run in part, and ended in a known error. */
  Failed = 'failed',
  /** Whether the request ran can't be told. */
  Unknown = 'unknown',
}

/** Header, and field of the final event, that carries an [[Outcome]]. */
export const OUTCOME_HEADER = 'gypsumcourse-outcome';
/** Header that carries the id of a request. */
export const REQUEST_ID_HEADER = 'gypsumcourse-request-id';
/** Name of the final event of a streamed answer. */
export const OUTCOME_EVENT = 'gypsumcourse.outcome';

/** Why a request got no whole answer, as told to its caller. */
export type Failure =
  | {type: 'badRequest'; reason: string}
  | {type: 'unauthenticated'}
  | {type: 'forbiddenClass'; name: string}
  | {type: 'unknownModel'; model: string}
  | {type: 'unknownService'; service: string}
  | {type: 'unknownPath'; path: string}
  | {type: 'bodyTooLarge'; limitBytes: number}
  | {type: 'slowCaller'; limitMs: number}
  | {type: 'notReady'}
  | {type: 'draining'}
  | {type: 'overloaded'; retryAfterMs: number}
  | {type: 'limited'; scope: 'class' | 'workspace'; retryAfterMs: number}
  | {type: 'noUpstream'; retryAfterMs: number}
  | {type: 'deadlineExceeded'}
  | {type: 'keyExpired'}
  | {type: 'keyUndated'}
  | {type: 'keyConflict'}
  | {type: 'claimsUnavailable'; retryAfterMs: number}
  | {type: 'claimedElsewhere'; retryAfterMs: number}
  /** The attempt that held the key ended with this failure. */
  | {type: 'earlierAttempt'; cause: string}
  /** The request completed under its key, but its answer is gone. */
  | {type: 'answerGone'}
  | {type: 'upstreamRefused'; status: number; retryAfterMs?: number}
  | {
      type: 'upstreamRejected';
      status: number;
      contentType: string;
      body: string;
    }
  | {type: 'upstreamFailed'; status: number}
  | {type: 'upstreamLost'; cause: string}
  | {type: 'upstreamSilent'; limitMs: number}
  | {type: 'wrongAnswer'}
  | {type: 'invalidToken'}
  /** The upstream no longer holds the stream that broke off. */
  | {type: 'streamLost'}
  | {type: 'cancelled'};

/** A request that ended without a whole answer. */
export interface FailureConclusion {
  outcome: Exclude<Outcome, Outcome.Completed>;
  failure: Failure;
}

/** How a request ended for its caller. */
export type Conclusion =
  | {outcome: Outcome.Completed; failure?: {type: 'answerGone'}}
  | FailureConclusion;

/** Returns the failure of a request that has one. */
export function failureOf(conclusion: Conclusion): Failure | undefined {
  return conclusion.failure;
}

/** Returns the HTTP status that a failure is answered with. */
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

/** Describes a failure in one sentence for its caller. */
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
      return `There is nothing at "${failure.path}".`;
    case 'bodyTooLarge':
      return `The body is larger than ${failure.limitBytes} bytes.`;
    case 'slowCaller':
      return `The request did not arrive within ${failure.limitMs} ms.`;
    case 'notReady':
      return 'This instance has no configuration yet.';
    case 'draining':
      return 'This instance is shutting down.';
    case 'overloaded':
      return 'There is more work than capacity.';
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
        'The idempotency key tells no valid time of issue; use a UUIDv7 or ' +
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
      return 'The request completed, and its answer is no longer held.';
    case 'upstreamRejected':
      return `The upstream answered with ${failure.status}.`;
    case 'invalidToken':
      return 'The resume token is invalid or has expired.';
    case 'streamLost':
      return 'The upstream no longer holds the stream.';
    case 'upstreamRefused':
      return `The upstream refused the request with ${failure.status}.`;
    case 'upstreamFailed':
      return `The upstream failed with ${failure.status}.`;
    case 'upstreamLost':
      return 'The connection to the upstream was lost.';
    case 'upstreamSilent':
      return `The upstream was silent for ${failure.limitMs} ms.`;
    case 'wrongAnswer':
      return 'The upstream answered another request.';
    case 'cancelled':
      return 'The caller went away.';
  }
}

/** Returns when the caller should come back, or undefined if never. */
export function retryAfterMs(failure: Failure): number | undefined {
  return 'retryAfterMs' in failure ? failure.retryAfterMs : undefined;
}
