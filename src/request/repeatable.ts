import type {AttemptResult} from './attemptresult.js';
import {
  ATTEMPTS_LIMIT,
  endingOf,
  acquirePlacement,
  runAndRecordAttempt,
  type ExecutionParts,
  type FailedAttempt,
} from './execution.js';
import {Outcome, type Conclusion, type FailureConclusion} from './outcome.js';
import type {Placement} from './placement.js';
import {Lifetime} from './lifetime.js';
import type {AnswerSink} from './sink.js';
import type {ParsedRequest} from './work.js';

/** Server errors that any other upstream would return too. */
const PERMANENT_STATUSES = new Set([501, 505]);

/**
 * Runs a request that may be run more than once: acquires placements, runs
 * attempts, and retries as far as the failure, the deadline and the retry
 * budget allow.
 */
export async function runRepeatable(
  parts: ExecutionParts,
  work: ParsedRequest,
  sink: AnswerSink,
  callerGone: AbortSignal,
): Promise<Conclusion> {
  const lifetime = new Lifetime(parts.timer, work.deadlineAt, callerGone);
  try {
    return await new RepeatableRun(parts, work, sink, lifetime).run();
  } finally {
    lifetime.end();
  }
}

class RepeatableRun {
  private readonly tried = new Set<string>();
  /** Ending of the last attempt that may have run. */
  private lastRun?: FailureConclusion;
  /** Whether retries avoid pooled connections, after one went silent. */
  private useNewConnection = false;

  constructor(
    private readonly parts: ExecutionParts,
    private readonly work: ParsedRequest,
    private readonly sink: AnswerSink,
    private readonly lifetime: Lifetime,
  ) {}

  async run(): Promise<Conclusion> {
    let limit = Math.max(1, ATTEMPTS_LIMIT - this.work.priorAttempts);
    let lastEnding: FailureConclusion | undefined;
    for (let index = 0; index < limit; index++) {
      const placed = await acquirePlacement(
        this.parts,
        this.work,
        this.tried,
        this.lifetime,
      );
      if (placed === undefined) return this.abortedEnding();
      if (placed.isErr()) return this.lastRun ?? lastEnding ?? placed.error;
      const placement = placed.value;
      const result = await this.attempt(placement, index);
      if (result.type === 'whole') return {outcome: Outcome.Completed};
      lastEnding = this.recordFailure(result);
      if (this.lifetime.signal.aborted) return this.abortedEnding();
      if (isPreempted(placement, result)) {
        limit++;
        continue;
      }
      if (index + 1 === limit) break;
      if (!(await this.awaitRetry(result, placement, index + 1))) break;
    }
    return this.lastRun ?? lastEnding ?? this.abortedEnding();
  }

  private async attempt(
    placement: Placement,
    index: number,
  ): Promise<AttemptResult> {
    const {work, parts} = this;
    const {name} = placement.upstream;
    if (index === 0) parts.retries.recordAttempt(work.serviceClass.name, name);
    return runAndRecordAttempt({
      work,
      placement,
      sink: this.sink,
      timer: parts.timer,
      recorder: parts.recorder,
      id: index === 0 ? work.id : `${work.id}-${index}`,
      signal: placement.signal,
      verifyConnection: this.useNewConnection,
    });
  }

  private recordFailure(result: FailedAttempt): FailureConclusion {
    const ending = endingOf(result, Outcome.Failed);
    if (ending.outcome !== Outcome.NotRun) this.lastRun = ending;
    return ending;
  }

  /** The ending after the deadline passed or the caller disconnected. */
  private abortedEnding(): FailureConclusion {
    const failure = this.lifetime.failure ?? {type: 'cancelled'};
    if (this.lastRun === undefined) return {outcome: Outcome.NotRun, failure};
    return {outcome: this.lastRun.outcome, failure};
  }

  /**
   * Waits for the back-off of retry number `retry`, counted from 1. Returns
   * false if the request must not be retried.
   */
  private async awaitRetry(
    result: FailedAttempt,
    placement: Placement,
    retry: number,
  ): Promise<boolean> {
    if (!isTransient(result)) return false;
    const {work, parts, lifetime} = this;
    const {name} = placement.upstream;
    if (!parts.retries.tryTake(work.serviceClass.name, name)) return false;
    const delayMs = parts.retries.delayMs(retry);
    const remainingMs = work.deadlineAt - parts.timer.now();
    if (delayMs >= remainingMs) return false;
    if (result.failure.type === 'upstreamSilent') this.useNewConnection = true;
    this.tried.add(name);
    const reason = result.failure.type;
    parts.recorder.recordDecision(work.id, {type: 'retried', reason, delayMs});
    await parts.timer.sleep(delayMs, lifetime.signal);
    return !lifetime.signal.aborted;
  }
}

/** Whether an attempt was preempted before any of its answer was delivered. */
function isPreempted({signal}: Placement, result: FailedAttempt): boolean {
  return signal.aborted && result.type === 'broken' && !result.delivered;
}

/** Whether an attempt on another upstream may succeed. */
function isTransient(result: FailedAttempt): boolean {
  switch (result.type) {
    case 'unsent':
    case 'refused':
      return true;
    case 'rejected':
      return false;
    case 'broken':
      if (result.delivered) return false;
      if (result.failure.type !== 'upstreamFailed') return true;
      return !PERMANENT_STATUSES.has(result.failure.status);
  }
}
