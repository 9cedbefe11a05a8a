import {MAX_CLOCK_SKEW_MS} from '../claim/index.js';
import type {ParsedRequest} from './work.js';
import type {AnswerSink} from './sink.js';
import {runOnce} from './once.js';
import {runRepeatable} from './repeatable.js';
import {AnswerMeter} from './measure.js';
import {runKeyed, type KeyedParts} from './keyed.js';
import {failureOf, Outcome, type Conclusion} from './outcome.js';

/** Runs requests to their end, each as its marks demand. */
export class Executor {
  constructor(private readonly parts: KeyedParts) {}

  /** `gone` aborts when the caller has gone. */
  async execute(
    work: ParsedRequest,
    sink: AnswerSink,
    gone: AbortSignal,
  ): Promise<Conclusion> {
    const {recorder, timer} = this.parts;
    recorder.recordDecision(work.id, {
      type: 'arrived',
      class: work.serviceClass.name,
      tier: work.serviceClass.tier,
      workspace: work.workspace.name,
    });
    const measure = new AnswerMeter(work, sink, timer);
    const conclusion = await this.run(work, measure, gone);
    const observation = measure.observation(conclusion.outcome);
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

  /** Resolves when no dispatched work goes on after its caller's answer. */
  async drain(): Promise<void> {
    while (this.parts.unfinishedRuns.size > 0) {
      await Promise.all(this.parts.unfinishedRuns);
    }
    await this.parts.claims.close();
  }

  private async run(
    work: ParsedRequest,
    sink: AnswerSink,
    gone: AbortSignal,
  ): Promise<Conclusion> {
    const conclusion = await this.dispatch(work, sink, gone);
    const certain =
      !work.repeatable && conclusion.failure?.type !== 'keyUndated';
    if (certain || conclusion.outcome !== Outcome.NotRun) return conclusion;
    if (work.idempotencyKey === undefined || work.priorAttempts === 0) {
      return conclusion;
    }
    // Without a claim nothing is known of earlier attempts under the key.
    return {outcome: Outcome.Unknown, failure: conclusion.failure};
  }

  private dispatch(
    work: ParsedRequest,
    sink: AnswerSink,
    gone: AbortSignal,
  ): Promise<Conclusion> {
    if (work.repeatable) {
      return runRepeatable(this.parts, work, sink, gone);
    }
    const {idempotencyKey: id, keyIssuedAt: issuedAt} = work;
    if (id === undefined) return runOnce(this.parts, work, sink, gone);
    const latest = this.parts.timer.wallNow() + MAX_CLOCK_SKEW_MS;
    if (issuedAt === undefined || issuedAt > latest) {
      const failure = {type: 'keyUndated' as const};
      return Promise.resolve({outcome: Outcome.NotRun, failure});
    }
    return runKeyed(this.parts, work, {id, issuedAt}, sink, gone);
  }
}
