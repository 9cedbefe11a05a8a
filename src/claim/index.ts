export {Claims, CLOCK_SKEW_MS} from './claims.js';
export type {Claimed, ClaimRequest, ClaimsParts} from './claims.js';
export type {Flight, RecordedResult} from './keyedattempt.js';
export {claimId, KEY_TIME_HEADER, keyTime, PARTITIONS} from './key.js';
export type {ClaimUsage} from './partition.js';
export {streamOf} from './record.js';
export type {RecordedAnswer} from './record.js';
