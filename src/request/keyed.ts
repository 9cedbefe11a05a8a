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

/** What running keyed requests needs of the rest of the instance. */
export interface KeyedParts extends ExecutionParts {
  claims: Claims;
}

/**
 * Runs a request that may be run only once under its key, by whichever
 * instance gets it: claims the key, dispatches if the claim wins, and otherwise
 * gives the result of the attempt that won.
 */
export async function runKeyed(
  parts: KeyedParts,
  work: ParsedRequest,
  key: {id: string; issuedAt: number},
  sink: AnswerSink,
  gone: AbortSignal,
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
    return dispatch(parts, work, claimed.keyedAttempt, sink, gone);
  }
  const holder = claimed.type === 'elsewhere' ? claimed.holder : claimed.type;
  parts.recorder.recordDecision(work.id, {
    type: 'claimLost',
    key: key.id,
    holder,
  });
  if (claimed.type === 'answered') return replay(claimed.result, sink);
  return refusalOf(claimed, work);
}

/** SHA-256 of all that makes two requests the same. */
function digestOf(work: ParsedRequest): string {
  return createHash('sha256')
    .update(`${work.method} ${work.path}\n`)
    .update(work.body)
    .digest('hex');
}

async function dispatch(
  parts: KeyedParts,
  work: ParsedRequest,
  flight: KeyedAttempt,
  sink: AnswerSink,
  gone: AbortSignal,
): Promise<Conclusion> {
  const {claims, timer} = parts;
  const recording = new Recording(sink);
  const guard = {permit: () => claims.mayDispatch(flight)};
  const finish = (real: Conclusion) => {
    const result = resultOf(real, recording);
    if (result === undefined) void claims.abandon(flight);
    else claims.recordResult(flight, result);
  };
  const conclusion = await runOnce(parts, work, recording, gone, guard, finish);
  if (conclusion.outcome !== Outcome.NotRun) return conclusion;
  const released = claims.abandon(flight);
  if (work.priorAttempts === 0) return conclusion;
  // Earlier attempts may still be on their way to the log; only the release
  // in the log keeps them from being dispatched.
  const late = timer.sleep(RELEASE_TIMEOUT_MS).then(() => false);
  if (await Promise.race([released, late])) return conclusion;
  return {outcome: Outcome.Unknown, failure: conclusion.failure};
}

/** What other attempts with the key are told; undefined if nothing ran. */
function resultOf(
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

/** Gives the recorded result of another attempt. */
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
  const known = outcome === 'failed' ? Outcome.Failed : Outcome.Unknown;
  if (answer === undefined) {
    return {outcome: known, failure: {type: 'earlierAttempt', cause: failure}};
  }
  const {status, contentType} = answer;
  const body = Buffer.from(answer.body, 'base64').toString('utf8');
  const rejected = {type: 'upstreamRejected' as const, status};
  return {outcome: known, failure: {...rejected, contentType, body}};
}

function refusalOf(
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
