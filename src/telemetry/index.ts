export {LogEvent} from './logevent.js';
export {nullRecorder, ShedReason, WasteCause} from './decision.js';
export type {
  Decision,
  RequestResult,
  Recorder,
  CandidateUpstream,
} from './decision.js';
export {
  endOnDefect,
  Level,
  componentLogger,
  openStderrLogger,
  openOutputLogger,
  Component,
  setLevel,
} from './logger.js';
export type {OutputLogger} from './logger.js';
export {listOf, recordOf} from './checkedlist.js';
export {describeIssue} from './issue.js';
export {describeTargets, meetsTargets} from './targets.js';
export type {RequestTimes} from './targets.js';
export {Accumulator, cellSchema, emptyCell} from './accumulator.js';
export type {
  Cell,
  AccumulatorSnapshot,
  LinkTraffic,
  WastedTokens,
} from './accumulator.js';
export {
  formatMetrics,
  MetricKind,
  METRICS_CONTENT_TYPE,
  metricsOf,
} from './exposition.js';
export type {Metric, Sample} from './exposition.js';
export {
  historySnapshotSchema,
  History,
  HISTORY_MS,
  sumCells,
  BURN_WINDOWS_MS,
} from './history.js';
export type {HistorySnapshot, MinuteCounts, WindowCounts} from './history.js';
export {ClassLatency, LATENCY_RELATIVE_ERROR, LatencyKind} from './latency.js';
export type {EncodedLatency, Percentiles} from './latency.js';
export {MeteredRecorder} from './recorder.js';
export type {CountedInterval, IntervalListener} from './recorder.js';
export {
  Summarizer,
  MIN_SUMMARY_PERIOD_MS,
  SUMMARY_STREAM,
  summarySchema,
} from './summary.js';
export type {SummaryBacklog, Summary, SummaryAuthor} from './summary.js';
export {BUCKET_BOUNDS_S, Totals} from './totals.js';
export {
  TRACE_STORE_LIMIT_BYTES,
  TRACE_LIMIT_BYTES,
  TraceStore,
} from './trace.js';
export type {Trace, TraceEntry} from './trace.js';
