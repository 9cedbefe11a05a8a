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
export {disagreementsOf} from './fleetreport.js';
export type {
  FleetReport,
  InstanceView,
  LeaseView,
  MemberView,
  UpstreamView,
} from './fleetreport.js';
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
} from './burntext.js';
export {readLog} from './logparser.js';
export type {LogLine, LogLines} from './logparser.js';
export {tellStory} from './requesthistory.js';
export type {LogStory} from './requesthistory.js';
export {tallyRoutes} from './routestatistics.js';
export type {RouteTally} from './routestatistics.js';
