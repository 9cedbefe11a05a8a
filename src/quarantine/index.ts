export {
  HoldState,
  type Clearance,
  type CrashReport,
  type Evidence,
  type Hold,
  type Suspect,
} from './evidence.js';
export {Quarantine, type QuarantineOptions} from './quarantine.js';
export type {SuspectPart} from './blame.js';
