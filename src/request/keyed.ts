import {createHash} from 'node:crypto';
import {
  claimId,
  type ClaimResult,
  type Claims,
  type KeyedAttempt,
  type RecordedResult,
} from '../claim/index.js';
import type {AnswerSink} from './sink.js';
import type {ExecutionParts} from './execution.js';
import {runOnce} from './once.js';
import {Outcome, type Conclusion, type FailureConclusion} from './outcome.js';
import {Recording} from './recording.js';
import type {ParsedRequest} from './work.js';

const RETRY_AFTER_MS = 1_000;
const RELEASE_TIMEOUT_MS = 1_000;

/** Dependencies of [[runKeyed]]. */
export interface KeyedParts extends ExecutionParts {
  claims: Claims;
}

/**
 * Runs a request that may be run only once per idempotency key in the whole
 * fleet. Claims the key and dispatches the request if the claim wins. Otherwise
 * answers with the recorded result of the attempt that claimed the key, or with
 * a failure if there is none.
 */
export async function runKeyed(
  parts: KeyedParts,
  work: ParsedRequest,
  key: {id: string; issuedAt: number},
  sink: AnswerSink,
  callerGone: AbortSignal,
): Promise<Conclusion> {
  const claimed = await parts.claims.claim({
    key: claimId(work.workspace.name, key.id),
    issuedAt: key.issuedAt,
    attempt: work.id,
    ordinal: work.priorAttempts,
    digest: digestOf(work),
    deadlineAt: work.deadlineAt,
  });
  if (claimed.type === 'won') {
    const {offset, waitedMs} = claimed;
    const decision = {type: 'claimed' as const, key: key.id, offset, waitedMs};
    parts.recorder.recordDecision(work.id, decision);
    return dispatchClaimed(parts, work, claimed.keyedAttempt, sink, callerGone);
  }
  const holder = claimed.type === 'elsewhere' ? claimed.holder : claimed.type;
  parts.recorder.recordDecision(work.id, {
    type: 'claimLost',
    key: key.id,
    holder,
  });
  if (claimed.type === 'answered') return replay(claimed.result, sink);
  return claimFailureOf(claimed, work);
}

/**
 * SHA-256 of method, path and body in hex, to detect a key that is used for
 * another request.
 */
function digestOf(work: ParsedRequest): string {
  return createHash('sha256')
    .update(`${work.method} ${work.path}\n`)
    .update(work.body)
    .digest('hex');
}

/** Runs a request whose claim won, and records its result or its release. */
async function dispatchClaimed(
  parts: KeyedParts,
  work: ParsedRequest,
  flight: KeyedAttempt,
  sink: AnswerSink,
  callerGone: AbortSignal,
): Promise<Conclusion> {
  const {claims, timer} = parts;
  const recording = new Recording(sink);
  const guard = {mayDispatch: () => claims.mayDispatch(flight)};
  const recordResult = (actual: Conclusion) => {
    const result = recordedResultOf(actual, recording);
    if (result === undefined) void claims.abandon(flight);
    else claims.recordResult(flight, result);
  };
  const conclusion = await runOnce(
    parts,
    work,
    recording,
    callerGone,
    guard,
    recordResult,
  );
  if (conclusion.outcome !== Outcome.NotRun) return conclusion;
  const released = claims.abandon(flight);
  if (work.priorAttempts === 0) return conclusion;
  // Claims of earlier attempts may still be appended to the log. Only a release
  // in the log prevents those attempts from being dispatched.
  const timedOut = timer.sleep(RELEASE_TIMEOUT_MS).then(() => false);
  if (await Promise.race([released, timedOut])) return conclusion;
  return {outcome: Outcome.Unknown, failure: conclusion.failure};
}

/** Result recorded for other attempts with the key; undefined if not run. */
function recordedResultOf(
  conclusion: Conclusion,
  recording: Recording,
): RecordedResult | undefined {
  const {outcome, failure} = conclusion;
  if (outcome === Outcome.NotRun) return undefined;
  if (failure?.type === 'upstreamRejected') {
    const {status, contentType} = failure;
    const body = Buffer.from(failure.body).toString('base64');
    const answer = {status, contentType, body};
    return {outcome, failure: failure.type, answer};
  }
  const answer = recording.answer();
  return {
    outcome,
    ...(failure === undefined ? {} : {failure: failure.type}),
    ...(answer === undefined || outcome !== Outcome.Completed ? {} : {answer}),
  };
}

/** Delivers the recorded result of the attempt that claimed the key. */
function replay(result: RecordedResult, sink: AnswerSink): Conclusion {
  const {outcome, failure = '', answer} = result;
  if (outcome === 'completed') {
    if (answer === undefined) {
      return {outcome: Outcome.Completed, failure: {type: 'answerGone'}};
    }
    sink.head(answer.status, answer.contentType);
    sink.whole(Buffer.from(answer.body, 'base64'));
    return {outcome: Outcome.Completed};
  }
  const recordedOutcome =
    outcome === 'failed' ? Outcome.Failed : Outcome.Unknown;
  if (answer === undefined) {
    return {
      outcome: recordedOutcome,
      failure: {type: 'earlierAttempt', cause: failure},
    };
  }
  const {status, contentType} = answer;
  const body = Buffer.from(answer.body, 'base64').toString('utf8');
  const rejected = {type: 'upstreamRejected' as const, status};
  return {outcome: recordedOutcome, failure: {...rejected, contentType, body}};
}

function claimFailureOf(
  claimed: Exclude<ClaimResult, {type: 'won' | 'answered'}>,
  work: ParsedRequest,
): FailureConclusion {
  switch (claimed.type) {
    case 'expired':
      return {outcome: Outcome.Unknown, failure: {type: 'keyExpired'}};
    case 'conflict':
      return {
        outcome: work.priorAttempts > 0 ? Outcome.Unknown : Outcome.NotRun,
        failure: {type: 'keyConflict'},
      };
    case 'elsewhere':
      return {
        outcome: Outcome.Unknown,
        failure: {type: 'claimedElsewhere', retryAfterMs: RETRY_AFTER_MS},
      };
    case 'unavailable':
      return {
        outcome: claimed.mayHaveRun ? Outcome.Unknown : Outcome.NotRun,
        failure: {type: 'claimsUnavailable', retryAfterMs: RETRY_AFTER_MS},
      };
  }
}
