import type {AttemptResult} from './attemptresult.js';
import {
  ATTEMPTS_LIMIT,
  endingOf,
  acquirePlacement,
  runAndRecordAttempt,
  type ExecutionParts,
} from './execution.js';
import {Outcome, type Conclusion, type FailureConclusion} from './outcome.js';
import type {Placement} from './placement.js';
import {Lifetime} from './lifetime.js';
import type {AnswerSink} from './sink.js';
import type {ParsedRequest} from './work.js';

/** Decisions around the one dispatch of a request. */
export interface DispatchGuard {
  /** Asked right before the request is sent; false withholds it. */
  permit(): boolean;
}

const ALWAYS: DispatchGuard = {permit: () => true};

/**
 * Runs a request that may be run only once. It is dispatched at most once, on
 * a connection that was seen to work; another upstream is tried only while no
 * byte has been sent. Once dispatched it is left to finish although its caller
 * has gone or its deadline has passed: `whenFinished` is told of its real end.
 */
export async function runOnce(
  parts: ExecutionParts,
  work: ParsedRequest,
  sink: AnswerSink,
  gone: AbortSignal,
  guard: DispatchGuard = ALWAYS,
  whenFinished: (conclusion: Conclusion) => void = () => undefined,
): Promise<Conclusion> {
  const scope = new Lifetime(parts.timer, work.deadlineAt, gone);
  const run = new SingleRun(parts, work, sink, scope, guard);
  const finished = run.run().finally(() => scope.end());
  const told = finished.then(whenFinished);
  parts.unfinishedRuns.add(told);
  void told.finally(() => parts.unfinishedRuns.delete(told));
  const conclusion = await Promise.race([finished, scope.whenAborted()]);
  if (conclusion !== undefined) return conclusion;
  const failure = scope.failure ?? {type: 'cancelled'};
  const outcome = run.dispatched ? Outcome.Unknown : Outcome.NotRun;
  return {outcome, failure};
}

class SingleRun {
  /** Whether bytes of the request may have left this instance. */
  dispatched = false;
  private readonly tried = new Set<string>();

  constructor(
    private readonly parts: ExecutionParts,
    private readonly work: ParsedRequest,
    private readonly sink: AnswerSink,
    private readonly scope: Lifetime,
    private readonly guard: DispatchGuard,
  ) {}

  async run(): Promise<Conclusion> {
    let last: FailureConclusion | undefined;
    for (let turn = 0; turn < ATTEMPTS_LIMIT; turn++) {
      const placed = await acquirePlacement(
        this.parts,
        this.work,
        this.tried,
        this.scope,
      );
      if (placed === undefined) return this.givenUp();
      if (placed.isErr()) return last ?? placed.error;
      const placement = placed.value;
      this.tried.add(placement.upstream.name);
      const result = await this.attempt(placement);
      if (result.type === 'whole') return {outcome: Outcome.Completed};
      last = endingOf(result, Outcome.Unknown);
      if (result.type !== 'unsent') return last;
      this.dispatched = false;
      if (this.scope.signal.aborted) return this.givenUp();
    }
    return last ?? this.givenUp();
  }

  private attempt(placement: Placement): Promise<AttemptResult> {
    const {work, sink, parts} = this;
    return runAndRecordAttempt({
      work,
      placement,
      sink,
      timer: parts.timer,
      recorder: parts.recorder,
      id: work.id,
      signal: new AbortController().signal,
      preDispatchSignal: this.scope.signal,
      verifyConnection: true,
      mayDispatch: () => this.permit(),
    });
  }

  private permit(): boolean {
    if (this.scope.signal.aborted || !this.guard.permit()) return false;
    this.dispatched = true;
    return true;
  }

  private givenUp(): FailureConclusion {
    const failure = this.scope.failure ?? {type: 'cancelled'};
    return {outcome: Outcome.NotRun, failure};
  }
}
