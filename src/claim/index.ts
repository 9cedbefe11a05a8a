export {Claims, MAX_CLOCK_SKEW_MS} from './claims.js';
export type {ClaimResult, ClaimRequest, ClaimsParts} from './claims.js';
export type {KeyedAttempt, RecordedResult} from './keyedattempt.js';
export {
  claimId,
  KEY_TIME_HEADER,
  keyIssueTime,
  PARTITION_COUNT,
} from './key.js';
export type {ClaimUsage} from './partition.js';
export {claimsStreamName} from './record.js';
export type {RecordedAnswer} from './record.js';
