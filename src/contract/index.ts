export {
  LengthDistribution,
  LengthEstimator as LengthEstimates,
} from './length.js';
export {latestStartAt} from './target.js';
export type {ExpectedDuration} from './target.js';
