export {nullRecorder, ShedReason, WasteCause} from './decision.js';
export type {
  Decision,
  Observation,
  Recorder,
  WeighedUpstream,
} from './decision.js';
export {Level, logOf, openLogger, Part} from './logger.js';
export {describeTargets, meetsTargets} from './targets.js';
export type {RequestTimes} from './targets.js';
