import {Repetition, type Route} from '../route/index.js';
import type {AttemptResult} from './attempt.js';
import {HealthSignal} from './health.js';
import {NotRunCause} from './refusal.js';

/** Sends beyond the route's limit that refusals which ran nothing allow. */
const REFUSED_SENDS = 2;
/** Shortest time in which another attempt is worth sending, in ms. */
const ATTEMPT_MINIMUM_MS = 40;

/** Whether a request is sent to another upstream. */
export enum Retry {
  Never = 'never',
  /** The fleet's allowance of repeats must have one left. */
  Charged = 'charged',
  /** Nothing reached an upstream, so it is no repeat. */
  Free = 'free',
}

/** What is known of a request after an attempt that did not answer it. */
export interface AttemptHistory {
  route: Route;
  result: AttemptResult;
  /** Attempts so far. */
  attempts: number;
  /** Attempts so far that may have run. */
  possibleRuns: number;
  /** Whether another upstream can go on where the last one stopped. */
  resumable: boolean;
  /** Time until the request's deadline, in ms. */
  leftMs: number;
}

/** Judges whether a request is sent again. */
export function decideRetry(tried: AttemptHistory): Retry {
  const {
    route,
    result,
    attempts: sends,
    possibleRuns: runs,
    resumable,
    leftMs,
  } = tried;
  if (leftMs < ATTEMPT_MINIMUM_MS) return Retry.Never;
  if (sends >= route.attemptsLimit + REFUSED_SENDS) return Retry.Never;
  switch (result.type) {
    case 'unsent':
      return Retry.Free;
    case 'refused':
      // What one upstream can't read, the others can't read either.
      return result.status === 400 ? Retry.Never : Retry.Charged;
    case 'broken':
    case 'whole':
    case 'delivered':
      if (route.repetition === Repetition.AtMostOnce) return Retry.Never;
      if (runs >= route.attemptsLimit || !resumable) return Retry.Never;
      return Retry.Charged;
  }
}

/** Why a request was not run if this was the end of its last attempt. */
export function notRunCauseOf(result: AttemptResult): NotRunCause {
  return result.type === 'unsent'
    ? NotRunCause.Unreachable
    : NotRunCause.Refused;
}

/** How the end of an attempt counts for the health of its upstream. */
export function healthSignalOf(result: AttemptResult): HealthSignal {
  switch (result.type) {
    case 'delivered':
      return HealthSignal.Good;
    case 'whole':
      return result.answer.head.status >= 500
        ? HealthSignal.Failure
        : HealthSignal.Good;
    case 'refused':
      return HealthSignal.Full;
    case 'unsent':
      return HealthSignal.Unreachable;
    case 'broken':
      return HealthSignal.Broken;
  }
}
