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

/** Decides whether a request that may run only once may be dispatched. */
export interface DispatchGuard {
  /** Called right before the dispatch; the request isn't sent if false. */
  mayDispatch(): boolean;
}

const ALWAYS_DISPATCH: DispatchGuard = {mayDispatch: () => true};

/**
 * Runs a request that may be run only once. It is dispatched at most once, on a
 * connection that has answered a probe; another upstream is tried only if no
 * byte was sent. After the dispatch it runs to its end even if the caller
 * disconnects or the deadline passes. The promise returned then resolves early
 * with the outcome unknown; `onFinished` gets the final conclusion.
 */
export async function runOnce(
  parts: ExecutionParts,
  work: ParsedRequest,
  sink: AnswerSink,
  callerGone: AbortSignal,
  guard: DispatchGuard = ALWAYS_DISPATCH,
  onFinished: (conclusion: Conclusion) => void = () => undefined,
): Promise<Conclusion> {
  const lifetime = new Lifetime(parts.timer, work.deadlineAt, callerGone);
  const run = new SingleRun(parts, work, sink, lifetime, guard);
  const finished = run.run().finally(() => lifetime.end());
  const reported = finished.then(onFinished);
  parts.unfinishedRuns.add(reported);
  void reported.finally(() => parts.unfinishedRuns.delete(reported));
  const conclusion = await Promise.race([finished, lifetime.whenAborted()]);
  if (conclusion !== undefined) return conclusion;
  const failure = lifetime.failure ?? {type: 'cancelled'};
  const outcome = run.dispatched ? Outcome.Unknown : Outcome.NotRun;
  return {outcome, failure};
}

class SingleRun {
  /** Whether bytes of the request may have been sent. */
  dispatched = false;
  private readonly tried = new Set<string>();

  constructor(
    private readonly parts: ExecutionParts,
    private readonly work: ParsedRequest,
    private readonly sink: AnswerSink,
    private readonly lifetime: Lifetime,
    private readonly guard: DispatchGuard,
  ) {}

  async run(): Promise<Conclusion> {
    let lastEnding: FailureConclusion | undefined;
    for (let index = 0; index < ATTEMPTS_LIMIT; index++) {
      const placed = await acquirePlacement(
        this.parts,
        this.work,
        this.tried,
        this.lifetime,
      );
      if (placed === undefined) return this.abortedEnding();
      if (placed.isErr()) return lastEnding ?? placed.error;
      const placement = placed.value;
      this.tried.add(placement.upstream.name);
      const result = await this.attempt(placement);
      if (result.type === 'whole') return {outcome: Outcome.Completed};
      lastEnding = endingOf(result, Outcome.Unknown);
      if (result.type !== 'unsent') return lastEnding;
      this.dispatched = false;
      if (this.lifetime.signal.aborted) return this.abortedEnding();
    }
    return lastEnding ?? this.abortedEnding();
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
      preDispatchSignal: this.lifetime.signal,
      verifyConnection: true,
      mayDispatch: () => this.mayDispatch(),
    });
  }

  private mayDispatch(): boolean {
    if (this.lifetime.signal.aborted || !this.guard.mayDispatch()) return false;
    this.dispatched = true;
    return true;
  }

  /** The ending of a request that was not sent before its lifetime ended. */
  private abortedEnding(): FailureConclusion {
    const failure = this.lifetime.failure ?? {type: 'cancelled'};
    return {outcome: Outcome.NotRun, failure};
  }
}
