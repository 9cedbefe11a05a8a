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

/** Maximum attempts per request. */
export const ATTEMPTS_LIMIT = 3;
const REFUSED_RETRY_AFTER_MS = 1_000;

/** Dependencies of the functions that run requests. */
export interface ExecutionParts {
  scheduler: Scheduler;
  timer: Timer;
  recorder: Recorder;
  retries: RetryPolicy;
  /**
   * Runs of requests that may be dispatched only once. They continue after
   * their caller was answered, and a shutdown waits for them.
   */
  unfinishedRuns: Set<Promise<unknown>>;
}

/** The result of an attempt without a complete answer. */
export type FailedAttempt = Exclude<AttemptResult, {type: 'whole'}>;

/**
 * Waits for a placement. Returns undefined if the deadline passes or the caller
 * disconnects first; a placement granted later is released at once.
 */
export async function acquirePlacement(
  {scheduler}: ExecutionParts,
  work: ParsedRequest,
  tried: ReadonlySet<string>,
  lifetime: Lifetime,
): Promise<Result<Placement, FailureConclusion> | undefined> {
  const acquisition = scheduler.acquire(work, {tried}, lifetime.signal);
  const placed = await Promise.race([acquisition, lifetime.whenAborted()]);
  if (placed !== undefined && !lifetime.signal.aborted) return placed;
  void acquisition.then(result => {
    if (result.isOk()) result.value.release(AttemptEnd.Cancelled);
  });
  return undefined;
}

/**
 * Returns the outcome and failure for the caller after a failed attempt.
 * `outcomeIfBroken` applies if the request may have run.
 */
export function endingOf(
  result: FailedAttempt,
  outcomeIfBroken: Outcome.Failed | Outcome.Unknown,
): FailureConclusion {
  switch (result.type) {
    case 'refused':
    case 'unsent':
      return {outcome: Outcome.NotRun, failure: withRetryAfter(result.failure)};
    case 'rejected':
      return {outcome: Outcome.Failed, failure: result.failure};
    case 'broken':
      return {outcome: outcomeIfBroken, failure: result.failure};
  }
}

/** Adds a retry delay to a refusal by an upstream. */
function withRetryAfter(failure: Failure): Failure {
  if (failure.type !== 'upstreamRefused') return failure;
  return {...failure, retryAfterMs: REFUSED_RETRY_AFTER_MS};
}

/** Runs an attempt and records its result and duration in the trace. */
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
