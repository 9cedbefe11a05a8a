export {LeaseCandidates} from './candidates.js';
export {LeaseManager} from './manager.js';
export type {HeldLease, LeaseParts} from './manager.js';
export {LEASE_STREAM, leaseRecordSchema} from './record.js';
export type {LeaseGrant, LeaseRecord} from './record.js';
export {LeaseTable} from './table.js';
export type {Lease} from './table.js';
