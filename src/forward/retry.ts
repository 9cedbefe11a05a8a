import {Repetition, type Route} from '../route/index.js';
import type {AttemptResult} from './attempt.js';
import {Sign} from './health.js';
import {NotRunCause} from './refusal.js';

/** Sends beyond the route's limit that refusals which ran nothing allow. */
const REFUSED_SENDS = 2;
/** Shortest time in which another attempt is worth sending, in ms. */
const ATTEMPT_MINIMUM_MS = 40;

/** Whether a request is sent to another upstream. */
export enum Repeat {
  Never = 'never',
  /** The fleet's allowance of repeats must have one left. */
  Charged = 'charged',
  /** Nothing reached an upstream, so it is no repeat. */
  Free = 'free',
}

/** What is known of a request after an attempt that did not answer it. */
export interface Tried {
  route: Route;
  result: AttemptResult;
  /** Attempts so far. */
  sends: number;
  /** Attempts so far that may have run. */
  runs: number;
  /** Whether another upstream can go on where the last one stopped. */
  resumable: boolean;
  /** Time until the request's deadline, in ms. */
  leftMs: number;
}

/** Judges whether a request is sent again. */
export function judgeRepeat(tried: Tried): Repeat {
  const {route, result, sends, runs, resumable, leftMs} = tried;
  if (leftMs < ATTEMPT_MINIMUM_MS) return Repeat.Never;
  if (sends >= route.attemptsLimit + REFUSED_SENDS) return Repeat.Never;
  switch (result.type) {
    case 'unsent':
      return Repeat.Free;
    case 'refused':
      // What one upstream can't read, the others can't read either.
      return result.status === 400 ? Repeat.Never : Repeat.Charged;
    case 'broken':
    case 'whole':
    case 'delivered':
      if (route.repetition === Repetition.AtMostOnce) return Repeat.Never;
      if (runs >= route.attemptsLimit || !resumable) return Repeat.Never;
      return Repeat.Charged;
  }
}

/** Why a request was not run if this was the end of its last attempt. */
export function causeOf(result: AttemptResult): NotRunCause {
  return result.type === 'unsent'
    ? NotRunCause.Unreachable
    : NotRunCause.Refused;
}

/** How the end of an attempt counts for the health of its upstream. */
export function signOf(result: AttemptResult): Sign {
  switch (result.type) {
    case 'delivered':
      return Sign.Good;
    case 'whole':
      return result.answer.head.status >= 500 ? Sign.Failure : Sign.Good;
    case 'refused':
      return Sign.Full;
    case 'unsent':
      return Sign.Unreachable;
    case 'broken':
      return Sign.Broken;
  }
}
