import type {Result} from 'neverthrow';
import type {Recorder} from '../telemetry/index.js';
import {WasteCause} from '../telemetry/index.js';
import type {Timer} from '../timer/index.js';
import {
  runAttempt,
  type AnswerSink,
  type AttemptResult,
  type AttemptSpec,
} from './attempt.js';
import {
  Outcome,
  type Conclusion,
  type Ending,
  type Failure,
} from './outcome.js';
import {AttemptEnd, type Placement, type Scheduler} from './placement.js';
import type {Retries} from './retry.js';
import {Scope} from './scope.js';
import type {Work} from './work.js';

const ATTEMPTS_LIMIT = 3;
const REFUSED_RETRY_AFTER_MS = 1_000;
/** Server errors that another upstream would answer alike. */
const PERMANENT_STATUSES = new Set([501, 505]);

/** What running requests needs of the rest of the instance. */
export interface ExecutionParts {
  scheduler: Scheduler;
  timer: Timer;
  recorder: Recorder;
  retries: Retries;
  /** Dispatched work that goes on after its caller was answered. */
  committed: Set<Promise<unknown>>;
}

type Failed = Exclude<AttemptResult, {type: 'whole'}>;

/** Waits for a placement, but no longer than the request may last. */
async function place(
  {scheduler}: ExecutionParts,
  work: Work,
  tried: ReadonlySet<string>,
  scope: Scope,
): Promise<Result<Placement, Ending> | undefined> {
  const granted = scheduler.acquire(work, {tried}, scope.signal);
  const placed = await Promise.race([granted, scope.stopped()]);
  if (placed !== undefined && !scope.signal.aborted) return placed;
  void granted.then(late => {
    if (late.isOk()) late.value.release(AttemptEnd.Cancelled);
  });
  return undefined;
}

/**
 * Runs a request that may be run more than once: acquires placements, runs
 * attempts, and retries where the outcome and the retry budget permit it.
 */
export async function executeRepeatable(
  parts: ExecutionParts,
  work: Work,
  sink: AnswerSink,
  gone: AbortSignal,
): Promise<Conclusion> {
  const scope = new Scope(parts.timer, work.deadlineAt, gone);
  try {
    return await new RepeatableRun(parts, work, sink, scope).run();
  } finally {
    scope.end();
  }
}

class RepeatableRun {
  private readonly tried = new Set<string>();
  /** How the last attempt that may have run ended. */
  private ran?: Ending;
  private fresh = false;

  constructor(
    private readonly parts: ExecutionParts,
    private readonly work: Work,
    private readonly sink: AnswerSink,
    private readonly scope: Scope,
  ) {}

  async run(): Promise<Conclusion> {
    let limit = Math.max(1, ATTEMPTS_LIMIT - this.work.priorAttempts);
    let last: Ending | undefined;
    for (let turn = 0; turn < limit; turn++) {
      const placed = await place(this.parts, this.work, this.tried, this.scope);
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
    const {work, scope, parts} = this;
    const {name} = placement.upstream;
    if (turn === 0) parts.retries.attempted(work.serviceClass.name, name);
    return runRecorded({
      work,
      placement,
      sink: this.sink,
      timer: parts.timer,
      recorder: parts.recorder,
      id: turn === 0 ? work.id : `${work.id}-${turn}`,
      signal: AbortSignal.any([placement.signal, scope.signal]),
      verified: this.fresh,
    });
  }

  private note(result: Failed): Ending {
    const ending = endingOf(result, Outcome.Failed);
    if (ending.outcome !== Outcome.NotRun) this.ran = ending;
    return ending;
  }

  /** The ending of a request whose time or caller has gone. */
  private givenUp(): Ending {
    const failure = this.scope.failure ?? {type: 'cancelled'};
    if (this.ran === undefined) return {outcome: Outcome.NotRun, failure};
    return {outcome: this.ran.outcome, failure};
  }

  /** Decides on a retry, and waits for its back-off. */
  private async mayRetry(
    result: Failed,
    placement: Placement,
    retry: number,
  ): Promise<boolean> {
    if (!isTransient(result)) return false;
    const {work, parts, scope} = this;
    const {name} = placement.upstream;
    if (!parts.retries.take(work.serviceClass.name, name)) return false;
    const delayMs = parts.retries.delayMs(retry);
    const left = work.deadlineAt - parts.timer.now();
    if (delayMs >= left) return false;
    if (result.failure.type === 'upstreamSilent') this.fresh = true;
    this.tried.add(name);
    const reason = result.failure.type;
    parts.recorder.decide(work.id, {type: 'retried', reason, delayMs});
    if (result.type === 'broken') {
      parts.recorder.waste(WasteCause.Retry, work.serviceClass.name, 0);
    }
    await parts.timer.sleep(delayMs, scope.signal);
    return !scope.signal.aborted;
  }
}

/** Whether an attempt made way for another before anything was delivered. */
function isPreempted({signal}: Placement, result: Failed): boolean {
  return signal.aborted && result.type === 'broken' && !result.delivered;
}

/** Whether another attempt elsewhere may well succeed. */
function isTransient(result: Failed): boolean {
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

/** What a failed attempt lets its caller conclude. */
function endingOf(
  result: Failed,
  afterBreak: Outcome.Failed | Outcome.Unknown,
): Ending {
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
export async function executeOnce(
  parts: ExecutionParts,
  work: Work,
  sink: AnswerSink,
  gone: AbortSignal,
  guard: DispatchGuard = ALWAYS,
  whenFinished: (conclusion: Conclusion) => void = () => undefined,
): Promise<Conclusion> {
  const scope = new Scope(parts.timer, work.deadlineAt, gone);
  const run = new SingleRun(parts, work, sink, scope, guard);
  const finished = run.run().finally(() => scope.end());
  const told = finished.then(whenFinished);
  parts.committed.add(told);
  void told.finally(() => parts.committed.delete(told));
  const conclusion = await Promise.race([finished, scope.stopped()]);
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
    private readonly work: Work,
    private readonly sink: AnswerSink,
    private readonly scope: Scope,
    private readonly guard: DispatchGuard,
  ) {}

  async run(): Promise<Conclusion> {
    let last: Ending | undefined;
    for (let turn = 0; turn < ATTEMPTS_LIMIT; turn++) {
      const placed = await place(this.parts, this.work, this.tried, this.scope);
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
    return runRecorded({
      work,
      placement,
      sink,
      timer: parts.timer,
      recorder: parts.recorder,
      id: work.id,
      signal: new AbortController().signal,
      preparation: this.scope.signal,
      verified: true,
      permit: () => this.permit(),
    });
  }

  private permit(): boolean {
    if (this.scope.signal.aborted || !this.guard.permit()) return false;
    this.dispatched = true;
    return true;
  }

  private givenUp(): Ending {
    const failure = this.scope.failure ?? {type: 'cancelled'};
    return {outcome: Outcome.NotRun, failure};
  }
}

async function runRecorded(spec: AttemptSpec): Promise<AttemptResult> {
  const start = spec.timer.now();
  const result = await runAttempt(spec);
  spec.recorder.decide(spec.work.id, {
    type: 'attempted',
    upstream: spec.placement.upstream.name,
    result: result.type,
    ms: spec.timer.now() - start,
  });
  return result;
}
