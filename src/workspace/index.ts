export {FairQueue} from './fairqueue.js';
export type {Ticket} from './fairqueue.js';
export {Heap} from './heap.js';
export {LimitTracker} from './limits.js';
export type {LimitResult} from './limits.js';
