export {ManualTimer, sleepWith, SystemTimer} from './timer.js';
export type {Subscription, Timer} from './timer.js';
