import type {Timer} from '../timer/index.js';
import {runAttempt, type AnswerSink, type AttemptResult} from './attempt.js';
import {Outcome, type Ending} from './outcome.js';
import type {Scheduler} from './placement.js';
import type {Work} from './work.js';

const ATTEMPTS_LIMIT = 3;

/** How a request ended for its caller. */
export type Conclusion = {outcome: Outcome.Completed} | Ending;

/**
 * Runs a request to its end: acquires placements from the scheduler, runs
 * attempts, and retries where the outcome of an attempt permits it.
 */
export async function execute(
  work: Work,
  scheduler: Scheduler,
  sink: AnswerSink,
  signal: AbortSignal,
  timer: Timer,
): Promise<Conclusion> {
  const tried = new Set<string>();
  let ran: Ending | undefined;
  for (let attempt = 0; attempt < ATTEMPTS_LIMIT; attempt++) {
    const placed = await scheduler.acquire(work, {tried}, signal);
    if (placed.isErr()) return ran ?? placed.error;
    const placement = placed.value;
    tried.add(placement.upstream.name);
    const result = await runAttempt(work, placement, sink, timer);
    if (result.type === 'whole') return {outcome: Outcome.Completed};
    const ending = endingOf(work, result);
    if (!mayRetry(work, result)) return ran ?? ending;
    if (ending.outcome !== Outcome.NotRun) ran = ending;
  }
  return (
    ran ?? {
      outcome: Outcome.NotRun,
      failure: {type: 'noUpstream', retryAfterMs: 1_000},
    }
  );
}

function endingOf(
  work: Work,
  result: Exclude<AttemptResult, {type: 'whole'}>,
): Ending {
  switch (result.type) {
    case 'refused':
    case 'unsent':
      return {outcome: Outcome.NotRun, failure: result.failure};
    case 'broken':
      return {
        outcome: work.repeatable ? Outcome.Failed : Outcome.Unknown,
        failure: result.failure,
      };
  }
}

function mayRetry(
  work: Work,
  result: Exclude<AttemptResult, {type: 'whole'}>,
): boolean {
  switch (result.type) {
    case 'unsent':
      return true;
    case 'refused':
      return false;
    case 'broken':
      return work.repeatable && !result.delivered;
  }
}
