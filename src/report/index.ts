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
export {captureInstanceView} from './observer.js';
export type {InstanceViewParts} from './observer.js';
export {Reporter} from './reporter.js';
export type {Explanation, ReporterParts} from './reporter.js';
export {readSummaries, contributionsFromSummaries} from './summaries.js';
export {findDisagreements} from './fleetreport.js';
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
export {parseLog} from './logparser.js';
export type {LogLine, ParsedLog} from './logparser.js';
export {requestHistory} from './requesthistory.js';
export type {RequestHistory} from './requesthistory.js';
export {routeStatistics} from './routestatistics.js';
export type {RouteStatistics} from './routestatistics.js';
