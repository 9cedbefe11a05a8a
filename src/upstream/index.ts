export {BodyTooLong, readBounded} from './boundedbody.js';
export {CachedBlocks} from './cachedblocks.js';
export type {CacheMatch} from './cachedblocks.js';
export {ObservedState} from './observedstate.js';
export type {PendingPrefill} from './observedstate.js';
export {TierUsage} from './tierusage.js';
export {Directory, hasModelLoaded, poolServes, takesWork} from './directory.js';
export {
  CHARACTERS_PER_BLOCK,
  TOKENS_PER_BLOCK,
  CHARACTERS_PER_TOKEN,
  prefixBlocks,
  promptText,
  countPromptTokens,
} from './prefix.js';
export type {PromptBody, PromptMessage} from './prefix.js';
export {ReportPoller} from './reportpoller.js';
export {Health, HealthState} from './health.js';
export {ConcurrencyLimit} from './concurrencylimit.js';
export type {ReportFailure} from './report.js';
export {HashRing} from './hashring.js';
export {LatencyModel} from './latencymodel.js';
export {SUBSET_SIZE, selectSubset} from './subsetting.js';
export type {FleetNode} from './subsetting.js';
export {LeavingRegister, NoticeSource} from './leaving.js';
export type {KeyedNotice, LeavingListener, LeavingNotice} from './leaving.js';
export {Upstream} from './upstream.js';
export type {LoadReport} from './upstream.js';
export {demandKey, UpstreamSubsets} from './upstreamsubsets.js';
export type {SubsetContext, UpstreamSubset} from './upstreamsubsets.js';
