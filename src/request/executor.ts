import {MAX_CLOCK_SKEW_MS} from '../claim/index.js';
import type {Work} from './work.js';
import type {AnswerSink} from './sink.js';
import {executeOnce} from './once.js';
import {executeRepeatable} from './repeatable.js';
import {AnswerMeasure} from './measure.js';
import {executeKeyed, type KeyedParts} from './keyed.js';
import {failureOf, Outcome, type Conclusion} from './outcome.js';

/** Runs requests to their end, each as its marks demand. */
export class Executor {
  constructor(private readonly parts: KeyedParts) {}

  /** `gone` aborts when the caller has gone. */
  async execute(
    work: Work,
    sink: AnswerSink,
    gone: AbortSignal,
  ): Promise<Conclusion> {
    const {recorder, timer} = this.parts;
    recorder.decide(work.id, {
      type: 'arrived',
      class: work.serviceClass.name,
      tier: work.serviceClass.tier,
      workspace: work.workspace.name,
    });
    const measure = new AnswerMeasure(work, sink, timer);
    const conclusion = await this.run(work, measure, gone);
    const observation = measure.observation(conclusion.outcome);
    recorder.observe(observation);
    const failure = failureOf(conclusion)?.type;
    recorder.decide(work.id, {
      type: 'ended',
      outcome: conclusion.outcome,
      ms: observation.completionMs,
      ...(failure === undefined ? {} : {failure}),
    });
    return conclusion;
  }

  /** Resolves when no dispatched work goes on after its caller's answer. */
  async settled(): Promise<void> {
    while (this.parts.committed.size > 0) {
      await Promise.all(this.parts.committed);
    }
    await this.parts.claims.close();
  }

  private async run(
    work: Work,
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
    work: Work,
    sink: AnswerSink,
    gone: AbortSignal,
  ): Promise<Conclusion> {
    if (work.repeatable) {
      return executeRepeatable(this.parts, work, sink, gone);
    }
    const {idempotencyKey: id, keyIssuedAt: issuedAt} = work;
    if (id === undefined) return executeOnce(this.parts, work, sink, gone);
    const latest = this.parts.timer.wallNow() + MAX_CLOCK_SKEW_MS;
    if (issuedAt === undefined || issuedAt > latest) {
      const failure = {type: 'keyUndated' as const};
      return Promise.resolve({outcome: Outcome.NotRun, failure});
    }
    return executeKeyed(this.parts, work, {id, issuedAt}, sink, gone);
  }
}
