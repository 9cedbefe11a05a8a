export {LengthDistribution, LengthEstimator} from './length.js';
export {latestStartAt} from './lateststart.js';
export type {ExpectedDuration} from './lateststart.js';
