export {FairQueue} from './fair.js';
export type {Ticket} from './fair.js';
export {Heap} from './heap.js';
export {ContractLimits} from './limits.js';
export type {LimitVerdict} from './limits.js';
