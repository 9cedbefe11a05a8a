export {FairQueue} from './fairqueue.js';
export type {Ticket} from './fairqueue.js';
export {Heap} from './heap.js';
export {ContractLimits} from './limits.js';
export type {LimitVerdict} from './limits.js';
