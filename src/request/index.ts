export {CallerAnswer, writeRefusal} from './answer.js';
export {runAttempt} from './attempt.js';
export type {AnswerSink, AttemptResult} from './attempt.js';
export {RoundRobin} from './direct.js';
export {execute} from './execution.js';
export type {Conclusion} from './execution.js';
export {authenticate, parseWork, readBody} from './intake.js';
export type {Target} from './intake.js';
export {
  describe,
  Outcome,
  OUTCOME_EVENT,
  OUTCOME_HEADER,
  REQUEST_ID_HEADER,
  retryAfterMs,
  statusOf,
} from './outcome.js';
export type {Ending, Failure} from './outcome.js';
export {AttemptEnd} from './placement.js';
export type {Placement, PlacementHistory, Scheduler} from './placement.js';
export type {Demand, Work} from './work.js';
export {AnswerMeasure} from './measure.js';
