export {Severity} from './alert.js';
export type {BurnAlert, WindowBurn} from './alert.js';
export {burnReport} from './burn.js';
export type {
  BurnInput,
  BurnReport,
  BurnRow,
  LatencyRow,
  LogState,
  ReportSource,
  SilentInstance,
} from './burn.js';
export {GapReason, Source} from './contribution.js';
export type {Contribution, Gap} from './contribution.js';
export {explain} from './explanation.js';
export {observeFleet} from './observer.js';
export type {ObserverParts} from './observer.js';
export {Reporter} from './reporter.js';
export type {Explanation, ReporterParts} from './reporter.js';
export {readSummaries, sharesOf} from './summaries.js';
export {disagreementsOf} from './view.js';
export type {
  FleetReport,
  InstanceView,
  LeaseView,
  MemberView,
  UpstreamView,
} from './view.js';
export {
  fleetText,
  formatLoad,
  formatLog,
  formatMembers,
  formatMemory,
  formatRemaining,
} from './fleettext.js';
export {
  burnText,
  coverageNotes,
  formatAlert,
  formatRate,
  formatShare,
  formatTime,
  formatWindow,
} from './text.js';
export {readLog} from './loglines.js';
export type {LogLine, LogLines} from './loglines.js';
export {tellStory} from './logstory.js';
export type {LogStory} from './logstory.js';
export {tallyRoutes} from './logtally.js';
export type {RouteTally} from './logtally.js';
