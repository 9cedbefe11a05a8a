export {SchedulingPolicy, createScheduler} from './policy.js';
export type {ManagedScheduler} from './policy.js';
export {AdmissionScheduler} from './scheduler.js';
export type {SchedulerDependencies} from './scheduler.js';
