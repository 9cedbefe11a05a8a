import type {AttemptResult} from './attemptresult.js';

/** Why a request was sent to an upstream once more. */
export enum RepeatCause {
  /** The upstream before is silent. */
  Silent = 'silent',
  /** The upstream before sends, but not the answer to this request. */
  Overdue = 'overdue',
  /** Nothing had reached the upstream before. */
  Unsent = 'unsent',
  /** The upstream before asked for a pause. */
  Withheld = 'withheld',
  /** Another process may be at the address of the upstream before. */
  Misplaced = 'misplaced',
  /** The upstream before refused the request. */
  Refused = 'refused',
  /** The upstream before failed the request. */
  Failed = 'failed',
  /** The answer broke off, or there was none. */
  Broken = 'broken',
  /** The stream ended, and nothing shows who ended it. */
  Doubtful = 'doubtful',
}

/** Why a request is sent once more after an attempt. */
export function repeatCauseOf({type}: AttemptResult): RepeatCause {
  switch (type) {
    case 'unsent':
      return RepeatCause.Unsent;
    case 'withheld':
      return RepeatCause.Withheld;
    case 'misplaced':
      return RepeatCause.Misplaced;
    case 'refused':
      return RepeatCause.Refused;
    case 'whole':
    case 'delivered':
      return RepeatCause.Failed;
    case 'doubtful':
      return RepeatCause.Doubtful;
    case 'broken':
      return RepeatCause.Broken;
  }
}

/** Whether the retry budget pays for a repeat with this cause. */
export function isCharged(cause: RepeatCause): boolean {
  switch (cause) {
    case RepeatCause.Unsent:
    case RepeatCause.Withheld:
    case RepeatCause.Misplaced:
      return false;
    case RepeatCause.Silent:
    case RepeatCause.Overdue:
    case RepeatCause.Refused:
    case RepeatCause.Failed:
    case RepeatCause.Broken:
    case RepeatCause.Doubtful:
      return true;
  }
}
