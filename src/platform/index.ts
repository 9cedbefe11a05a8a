export {HttpLog} from './log.js';
export type {
  Log,
  LogPage,
  LogPosition,
  LogRecord,
  PlatformFailure,
} from './log.js';
