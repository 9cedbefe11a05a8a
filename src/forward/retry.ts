import {Repetition, type Route} from '../route/index.js';
import {
  AnswerProgress,
  BreakCause,
  type AttemptResult,
} from './attemptresult.js';
import {HealthSignal} from './health.js';
import {NotRunCause} from './refusal.js';

/** Attempts beyond the route's limit, which refused attempts may use. */
const EXTRA_ATTEMPTS = 2;
/** Least time left for which another attempt is sent, in ms. */
const MIN_ATTEMPT_MS = 40;

/** Whether a request is retried, and whether the budget pays for it. */
export enum Retry {
  Never = 'never',
  /** Retried if the retry budget has one left. */
  Charged = 'charged',
  /** Nothing reached an upstream, so no budget is needed. */
  Free = 'free',
}

/** State of a request after an attempt that was not successful. */
export interface AttemptHistory {
  route: Route;
  result: AttemptResult;
  /** Attempts so far. */
  attempts: number;
  /** Attempts so far that the upstream may have run. */
  possibleRuns: number;
  /** Whether another upstream can continue where the last one stopped. */
  resumable: boolean;
  /** Time until the request's deadline, in ms. */
  leftMs: number;
}

/** Decides whether a request is retried on another upstream. */
export function decideRetry(history: AttemptHistory): Retry {
  const {route, result, attempts, possibleRuns, resumable, leftMs} = history;
  if (leftMs < MIN_ATTEMPT_MS) return Retry.Never;
  if (attempts >= route.attemptsLimit + EXTRA_ATTEMPTS) return Retry.Never;
  switch (result.type) {
    case 'unsent':
    case 'withheld':
    case 'misplaced':
      return Retry.Free;
    case 'refused':
      // Other upstreams would reject the same malformed request.
      return result.status === 400 ? Retry.Never : Retry.Charged;
    case 'broken':
    case 'whole':
    case 'doubtful':
    case 'delivered':
      if (route.repetition === Repetition.AtMostOnce) return Retry.Never;
      if (possibleRuns >= route.attemptsLimit || !resumable) return Retry.Never;
      return Retry.Charged;
  }
}

/**
 * Decides whether another upstream may take a request over from one that is
 * silent, as if the attempt there had failed.
 */
export function decideReplacement(
  history: Omit<AttemptHistory, 'result'>,
): Retry {
  return decideRetry({
    ...history,
    possibleRuns: history.possibleRuns + 1,
    result: {
      type: 'broken',
      cause: 'silent',
      started: false,
      progress: AnswerProgress.None,
      endedBy: BreakCause.Abort,
    },
  });
}

/** Cause to report if the request ended after this attempt without running. */
export function notRunCauseOf(result: AttemptResult): NotRunCause {
  return result.type === 'unsent' || result.type === 'misplaced'
    ? NotRunCause.Unreachable
    : NotRunCause.Refused;
}

/**
 * What the result of an attempt says of the health of its upstream. A response
 * that asks for a pause says nothing of it, nor does one that may be whole.
 */
export function healthSignalOf(
  result: AttemptResult,
): HealthSignal | undefined {
  switch (result.type) {
    case 'delivered':
      return HealthSignal.Good;
    case 'whole': {
      if (result.asksForPause) return undefined;
      return result.answer.head.status >= 500
        ? HealthSignal.Failure
        : HealthSignal.Good;
    }
    case 'doubtful':
    case 'withheld':
    case 'misplaced':
      return undefined;
    case 'refused':
      return HealthSignal.Full;
    case 'unsent':
      return HealthSignal.Unreachable;
    case 'broken':
      return HealthSignal.Broken;
  }
}
