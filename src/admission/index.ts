export {Policy, scheduling} from './policy.js';
export type {Scheduling} from './policy.js';
export {AdmissionScheduler} from './scheduler.js';
export type {SchedulerParts} from './scheduler.js';
