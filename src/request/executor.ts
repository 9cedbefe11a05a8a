import {MAX_CLOCK_SKEW_MS} from '../claim/index.js';
import type {ParsedRequest} from './work.js';
import type {AnswerSink} from './sink.js';
import {runOnce} from './once.js';
import {runRepeatable} from './repeatable.js';
import {AnswerMeter} from './measure.js';
import {runKeyed, type KeyedParts} from './keyed.js';
import {failureOf, Outcome, type Conclusion} from './outcome.js';

/**
 * Runs each request as repeatable, under its idempotency key or at most once,
 * and records its outcome.
 */
export class Executor {
  constructor(private readonly parts: KeyedParts) {}

  /** Runs a request. `callerGone` aborts when the caller disconnects. */
  async execute(
    work: ParsedRequest,
    sink: AnswerSink,
    callerGone: AbortSignal,
  ): Promise<Conclusion> {
    const {recorder, timer} = this.parts;
    recorder.recordDecision(work.id, {
      type: 'arrived',
      class: work.serviceClass.name,
      tier: work.serviceClass.tier,
      workspace: work.workspace.name,
    });
    const meter = new AnswerMeter(work, sink, timer);
    const conclusion = await this.runToCertainOutcome(work, meter, callerGone);
    const observation = meter.observation(conclusion.outcome);
    recorder.recordResult(observation);
    const failure = failureOf(conclusion)?.type;
    recorder.recordDecision(work.id, {
      type: 'ended',
      outcome: conclusion.outcome,
      ms: observation.completionMs,
      ...(failure === undefined ? {} : {failure}),
    });
    return conclusion;
  }

  /**
   * Waits for the runs that continue after their caller was answered, then
   * closes the claims.
   */
  async drain(): Promise<void> {
    while (this.parts.unfinishedRuns.size > 0) {
      await Promise.all(this.parts.unfinishedRuns);
    }
    await this.parts.claims.close();
  }

  /**
   * Runs a request, and reports it as not run only if no earlier attempt with
   * its key can have run.
   */
  private async runToCertainOutcome(
    work: ParsedRequest,
    sink: AnswerSink,
    callerGone: AbortSignal,
  ): Promise<Conclusion> {
    const conclusion = await this.dispatch(work, sink, callerGone);
    const certain =
      !work.repeatable && conclusion.failure?.type !== 'keyUndated';
    if (certain || conclusion.outcome !== Outcome.NotRun) return conclusion;
    if (work.idempotencyKey === undefined || work.priorAttempts === 0) {
      return conclusion;
    }
    // Without a claim it is unknown whether an earlier attempt with this key
    // ran.
    return {outcome: Outcome.Unknown, failure: conclusion.failure};
  }

  private dispatch(
    work: ParsedRequest,
    sink: AnswerSink,
    callerGone: AbortSignal,
  ): Promise<Conclusion> {
    if (work.repeatable) {
      return runRepeatable(this.parts, work, sink, callerGone);
    }
    const {idempotencyKey: id, keyIssuedAt: issuedAt} = work;
    if (id === undefined) return runOnce(this.parts, work, sink, callerGone);
    const latestIssuedAt = this.parts.timer.wallNow() + MAX_CLOCK_SKEW_MS;
    if (issuedAt === undefined || issuedAt > latestIssuedAt) {
      const failure = {type: 'keyUndated' as const};
      return Promise.resolve({outcome: Outcome.NotRun, failure});
    }
    return runKeyed(this.parts, work, {id, issuedAt}, sink, callerGone);
  }
}
