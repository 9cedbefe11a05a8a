import type {Result} from 'neverthrow';
import type {Recorder} from '../telemetry/index.js';
import type {Timer} from '../timer/index.js';
import {runAttempt, type AttemptSpec} from './attempt.js';
import type {AttemptResult} from './attemptresult.js';
import {Outcome, type FailureConclusion, type Failure} from './outcome.js';
import {AttemptEnd, type Placement, type Scheduler} from './placement.js';
import type {RetryPolicy} from './retry.js';
import {Lifetime} from './lifetime.js';
import type {ParsedRequest} from './work.js';

/** Attempts of one request at most. */
export const ATTEMPTS_LIMIT = 3;
const REFUSED_RETRY_AFTER_MS = 1_000;

/** What running requests needs of the rest of the instance. */
export interface ExecutionParts {
  scheduler: Scheduler;
  timer: Timer;
  recorder: Recorder;
  retries: RetryPolicy;
  /** Dispatched work that goes on after its caller was answered. */
  unfinishedRuns: Set<Promise<unknown>>;
}

/** The result of an attempt that gave no whole answer. */
export type FailedAttempt = Exclude<AttemptResult, {type: 'whole'}>;

/** Waits for a placement, but no longer than the request may last. */
export async function acquirePlacement(
  {scheduler}: ExecutionParts,
  work: ParsedRequest,
  tried: ReadonlySet<string>,
  scope: Lifetime,
): Promise<Result<Placement, FailureConclusion> | undefined> {
  const granted = scheduler.acquire(work, {tried}, scope.signal);
  const placed = await Promise.race([granted, scope.whenAborted()]);
  if (placed !== undefined && !scope.signal.aborted) return placed;
  void granted.then(late => {
    if (late.isOk()) late.value.release(AttemptEnd.Cancelled);
  });
  return undefined;
}

/** What a failed attempt lets its caller conclude. */
export function endingOf(
  result: FailedAttempt,
  afterBreak: Outcome.Failed | Outcome.Unknown,
): FailureConclusion {
  switch (result.type) {
    case 'refused':
    case 'unsent':
      return {outcome: Outcome.NotRun, failure: comeBack(result.failure)};
    case 'rejected':
      return {outcome: Outcome.Failed, failure: result.failure};
    case 'broken':
      return {outcome: afterBreak, failure: result.failure};
  }
}

/** Adds advice on when to come back to what was not run. */
function comeBack(failure: Failure): Failure {
  if (failure.type !== 'upstreamRefused') return failure;
  return {...failure, retryAfterMs: REFUSED_RETRY_AFTER_MS};
}

/** Runs an attempt and records it. */
export async function runAndRecordAttempt(
  spec: AttemptSpec,
): Promise<AttemptResult> {
  const start = spec.timer.now();
  const result = await runAttempt(spec);
  spec.recorder.recordDecision(spec.work.id, {
    type: 'attempted',
    upstream: spec.placement.upstream.name,
    result: result.type,
    ms: spec.timer.now() - start,
  });
  return result;
}
