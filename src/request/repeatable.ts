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

/** Server errors that another upstream would answer alike. */
const PERMANENT_STATUSES = new Set([501, 505]);

/**
 * Runs a request that may be run more than once: acquires placements, runs
 * attempts, and retries where the outcome and the retry budget permit it.
 */
export async function runRepeatable(
  parts: ExecutionParts,
  work: ParsedRequest,
  sink: AnswerSink,
  gone: AbortSignal,
): Promise<Conclusion> {
  const scope = new Lifetime(parts.timer, work.deadlineAt, gone);
  try {
    return await new RepeatableRun(parts, work, sink, scope).run();
  } finally {
    scope.end();
  }
}

class RepeatableRun {
  private readonly tried = new Set<string>();
  /** How the last attempt that may have run ended. */
  private ran?: FailureConclusion;
  private fresh = false;

  constructor(
    private readonly parts: ExecutionParts,
    private readonly work: ParsedRequest,
    private readonly sink: AnswerSink,
    private readonly scope: Lifetime,
  ) {}

  async run(): Promise<Conclusion> {
    let limit = Math.max(1, ATTEMPTS_LIMIT - this.work.priorAttempts);
    let last: FailureConclusion | undefined;
    for (let turn = 0; turn < limit; turn++) {
      const placed = await acquirePlacement(
        this.parts,
        this.work,
        this.tried,
        this.scope,
      );
      if (placed === undefined) return this.givenUp();
      if (placed.isErr()) return this.ran ?? last ?? placed.error;
      const placement = placed.value;
      const result = await this.attempt(placement, turn);
      if (result.type === 'whole') return {outcome: Outcome.Completed};
      last = this.note(result);
      if (this.scope.signal.aborted) return this.givenUp();
      if (isPreempted(placement, result)) {
        limit++;
        continue;
      }
      if (turn + 1 === limit) break;
      if (!(await this.mayRetry(result, placement, turn + 1))) break;
    }
    return this.ran ?? last ?? this.givenUp();
  }

  private async attempt(
    placement: Placement,
    turn: number,
  ): Promise<AttemptResult> {
    const {work, parts} = this;
    const {name} = placement.upstream;
    if (turn === 0) parts.retries.recordAttempt(work.serviceClass.name, name);
    return runAndRecordAttempt({
      work,
      placement,
      sink: this.sink,
      timer: parts.timer,
      recorder: parts.recorder,
      id: turn === 0 ? work.id : `${work.id}-${turn}`,
      signal: placement.signal,
      verifyConnection: this.fresh,
    });
  }

  private note(result: FailedAttempt): FailureConclusion {
    const ending = endingOf(result, Outcome.Failed);
    if (ending.outcome !== Outcome.NotRun) this.ran = ending;
    return ending;
  }

  /** The ending of a request whose time or caller has gone. */
  private givenUp(): FailureConclusion {
    const failure = this.scope.failure ?? {type: 'cancelled'};
    if (this.ran === undefined) return {outcome: Outcome.NotRun, failure};
    return {outcome: this.ran.outcome, failure};
  }

  /** Decides on a retry, and waits for its back-off. */
  private async mayRetry(
    result: FailedAttempt,
    placement: Placement,
    retry: number,
  ): Promise<boolean> {
    if (!isTransient(result)) return false;
    const {work, parts, scope} = this;
    const {name} = placement.upstream;
    if (!parts.retries.tryTake(work.serviceClass.name, name)) return false;
    const delayMs = parts.retries.delayMs(retry);
    const left = work.deadlineAt - parts.timer.now();
    if (delayMs >= left) return false;
    if (result.failure.type === 'upstreamSilent') this.fresh = true;
    this.tried.add(name);
    const reason = result.failure.type;
    parts.recorder.recordDecision(work.id, {type: 'retried', reason, delayMs});
    await parts.timer.sleep(delayMs, scope.signal);
    return !scope.signal.aborted;
  }
}

/** Whether an attempt made way for another before anything was delivered. */
function isPreempted({signal}: Placement, result: FailedAttempt): boolean {
  return signal.aborted && result.type === 'broken' && !result.delivered;
}

/** Whether another attempt elsewhere may well succeed. */
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
