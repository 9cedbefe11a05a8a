export {LogEvent} from './logevent.js';
export {nullRecorder, ShedReason, WasteCause} from './decision.js';
export type {
  Decision,
  Observation,
  Recorder,
  WeighedUpstream,
} from './decision.js';
export {
  endOnDefect,
  Level,
  logOf,
  openLogger,
  openOutputLogger,
  Part,
  setLevel,
} from './logger.js';
export type {OutputLogger} from './logger.js';
export {describeTargets, meetsTargets} from './targets.js';
export type {RequestTimes} from './targets.js';
export {Accumulator, cellSchema, emptyCell} from './accumulator.js';
export type {Cell, Figures, LinkUse, Waste} from './accumulator.js';
export {
  formatMetrics,
  MetricKind,
  METRICS_CONTENT_TYPE,
  metricsOf,
} from './exposition.js';
export type {Metric, Sample} from './exposition.js';
export {
  accountSchema,
  History,
  HISTORY_MS,
  sumCells,
  WINDOWS_MS,
} from './history.js';
export type {Account, Minute, WindowCount} from './history.js';
export {ClassLatency, LATENCY_PRECISION, Moment} from './latency.js';
export type {EncodedLatency, Percentiles} from './latency.js';
export {MeteredRecorder} from './recorder.js';
export type {Slice, SliceListener} from './recorder.js';
export {
  Summarizer,
  SUMMARY_PERIOD_MS,
  SUMMARY_STREAM,
  summarySchema,
} from './summary.js';
export type {Backlog, Summary, SummaryAuthor} from './summary.js';
export {BUCKET_BOUNDS_S, Totals} from './totals.js';
export {STORE_LIMIT_BYTES, TRACE_LIMIT_BYTES, TraceStore} from './trace.js';
export type {Trace, TraceEntry} from './trace.js';
