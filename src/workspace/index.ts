export {FairQueue} from './fair.js';
export type {Ticket} from './fair.js';
export {Heap} from './heap.js';
export {LimitTracker as ContractLimits} from './limits.js';
export type {LimitResult} from './limits.js';
