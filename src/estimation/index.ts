export {LengthDistribution, LengthEstimates} from './length.js';
export {latestStartAt} from './lateststart.js';
export type {ExpectedDuration} from './lateststart.js';
