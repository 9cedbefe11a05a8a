export {CallerAnswer, writeFailure} from './answer.js';
export {runAttempt} from './attempt.js';
export type {AttemptSpec} from './attempt.js';
export type {AttemptResult} from './attemptresult.js';
export type {AnswerSink, StreamSource} from './sink.js';
export {RoundRobin} from './roundrobin.js';
export {Executor} from './executor.js';
export type {ExecutionParts} from './execution.js';
export type {KeyedParts} from './keyed.js';
export {RESUME_TOKEN_HEADER, Resumption} from './resumption.js';
export type {ResumptionParts, Signer, ResumeTicket} from './resumption.js';
export {unlimitedRetries, RetryBudget} from './retry.js';
export type {RetryPolicy} from './retry.js';
export {authenticate, isKeyedRetry, parseRequest, readBody} from './parse.js';
export type {Target} from './parse.js';
export {
  describeFailure,
  failureOf,
  Outcome,
  OUTCOME_EVENT,
  OUTCOME_HEADER,
  REQUEST_ID_HEADER,
  retryAfterMs,
  httpStatusOf,
} from './outcome.js';
export type {Conclusion, FailureConclusion, Failure} from './outcome.js';
export {AttemptEnd} from './placement.js';
export type {Placement, PlacementHistory, Scheduler} from './placement.js';
export type {Demand, ParsedRequest} from './work.js';
export {AnswerMeter} from './measure.js';
