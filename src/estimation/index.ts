export {LengthDistribution, LengthEstimates} from './length.js';
export {latestStartAt} from './target.js';
export type {ExpectedDuration} from './target.js';
