import {AnswerSign} from './answersign.js';
import {
  AnswerProgress,
  BreakCause,
  type AttemptResult,
  type BufferedResponse,
} from './attemptresult.js';
import type {Protocol} from './protocol.js';
import {repeatCauseOf, type RepeatCause} from './repeatcause.js';

/** What the attempts of a request have come to so far. */
export class AttemptTally {
  readonly triedUpstreams = new Set<string>();
  /** Attempts so far. */
  attempts = 0;
  /** Attempts so far that the upstream may have run. */
  possibleRuns = 0;
  /** Attempts whose answers the upstream broke off at their beginning. */
  earlyBreaks = 0;
  /** Attempts whose streams broke off after their heads, or may have. */
  streamBreaks = 0;
  /** Last complete error response of an upstream. */
  upstreamFailure?: BufferedResponse;
  /** Why the next attempt is a repeat, after one that brought no success. */
  repeatCause?: RepeatCause;
  /** When the request was first sent to an upstream, in monotonic ms. */
  firstSentAt?: number;
  /** Time from sending to the first bytes of a streamed response, in ms. */
  startMs?: number;
  /** Time from arrival to the first bytes of a streamed response, in ms. */
  toFirstMs?: number;

  constructor(
    /** When the request arrived, in monotonic ms. */
    readonly arrivedAt: number,
  ) {}

  get mayHaveRun(): boolean {
    return this.possibleRuns > 0;
  }

  /** Records the first bytes of a response to an attempt sent at `sentAt`. */
  recordFirstBytes(sentAt: number, now: number): void {
    this.startMs ??= Math.round(now - sentAt);
    this.toFirstMs ??= Math.round(now - this.arrivedAt);
  }

  /** Records an attempt that brought no success. */
  recordFailure(result: AttemptResult): void {
    this.repeatCause = repeatCauseOf(result);
    switch (result.type) {
      case 'whole':
        this.possibleRuns++;
        this.upstreamFailure = result.answer;
        return;
      case 'delivered':
        // Another attempt replaced it while its end was judged.
        this.possibleRuns++;
        return;
      case 'doubtful':
        this.possibleRuns++;
        this.streamBreaks++;
        return;
      case 'broken':
        this.possibleRuns++;
        if (result.started) this.streamBreaks++;
        if (isEarlyBreak(result)) this.earlyBreaks++;
        return;
      case 'refused':
      case 'unsent':
      case 'withheld':
      case 'misplaced':
        return;
    }
  }
}

/**
 * Whether an upstream broke an answer off between its head and its first
 * complete event, as one does that crashes on the request.
 */
export function isEarlyBreak(result: AttemptResult): boolean {
  return (
    result.type === 'broken' &&
    result.progress === AnswerProgress.Begun &&
    result.endedBy === BreakCause.Upstream
  );
}

/**
 * Whether a request whose attempt ended so may have crashed its upstream: with a
 * prompt only once it had begun, since many may wait at an engine.
 */
export function isCrashSign(
  result: AttemptResult,
  hasPrompt: boolean,
): boolean {
  if (hasPrompt) return isEarlyBreak(result);
  return (
    result.type === 'broken' &&
    result.progress !== AnswerProgress.Advanced &&
    result.endedBy === BreakCause.Upstream
  );
}

/**
 * What the result shows of an upstream that lived on with the request. A failure
 * of its own shows nothing, since it may not have read the request, and neither
 * does a status of requests that did not run.
 */
export function answerSignOf(
  result: AttemptResult,
  protocol: Pick<Protocol, 'impliesNotRun'>,
): AnswerSign | undefined {
  switch (result.type) {
    case 'delivered':
      // A stream has shown it by its first event, or has had none.
      return result.head.isEventStream ? undefined : AnswerSign.Success;
    case 'whole': {
      if (isSuccess(result)) return AnswerSign.Success;
      const {status, sealed, request} = result.answer.head;
      if (!sealed || request === undefined) return undefined;
      const showsNothing = status >= 500 || protocol.impliesNotRun(status);
      return showsNothing ? undefined : AnswerSign.Rejection;
    }
    case 'doubtful':
    case 'broken':
    case 'refused':
    case 'unsent':
    case 'withheld':
    case 'misplaced':
      return undefined;
  }
}

/** Whether the result is a successful response. */
export function isSuccess(result: AttemptResult): boolean {
  switch (result.type) {
    case 'delivered':
      return true;
    case 'whole': {
      const {status} = result.answer.head;
      return status >= 200 && status < 300;
    }
    case 'doubtful':
    case 'broken':
    case 'refused':
    case 'unsent':
    case 'withheld':
    case 'misplaced':
      return false;
  }
}
