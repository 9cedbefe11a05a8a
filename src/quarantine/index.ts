export {
  HoldState,
  type Clearance,
  type CrashReport,
  type Evidence,
  type Hold,
  type Suspect,
} from './evidence.js';
