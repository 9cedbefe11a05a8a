export {
  HoldState,
  type Clearance,
  type CrashReport,
  type Evidence,
  type Hold,
  type Suspect,
} from './evidence.js';
export {Quarantine, type QuarantineOptions} from './quarantine.js';
export {Quarantines} from './quarantines.js';
export {hasPromptParts, RequestKind, requestPart} from './requestid.js';
export type {SuspectPart} from './candidate.js';
