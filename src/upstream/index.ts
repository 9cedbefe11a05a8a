export {CachedBlocks} from './cachedblocks.js';
export type {CacheMatch} from './cachedblocks.js';
export {ObservedState} from './observedstate.js';
export type {PendingPrefill as PendingStart} from './observedstate.js';
export {TierUsage as TierDemand} from './tierusage.js';
export {
  Directory,
  hasModelLoaded as holds,
  poolServes as offers,
  takesWork,
} from './directory.js';
export {
  CHARACTERS_PER_BLOCK as BLOCK_CHARACTERS,
  TOKENS_PER_BLOCK as BLOCK_TOKENS,
  CHARACTERS_PER_TOKEN,
  prefixBlocks,
  promptText,
  countPromptTokens as promptTokens,
} from './prefix.js';
export type {PromptBody, PromptMessage} from './prefix.js';
export {ReportPoller as ReportFollower} from './reportpoller.js';
export {Health, HealthState} from './health.js';
export {ConcurrencyLimit as AdaptiveLimit} from './concurrencylimit.js';
export type {ReportFailure} from './report.js';
export {HashRing as Ring} from './hashring.js';
export {LatencyModel} from './latencymodel.js';
export {SUBSET_SIZE, selectSubset as subsetOf} from './subsetting.js';
export type {FleetNode as Located} from './subsetting.js';
export {LeavingRegister, NoticeSource} from './leaving.js';
export type {
  KeyedNotice,
  LeavingListener,
  LeavingNotice as Notice,
} from './leaving.js';
export {Upstream} from './upstream.js';
export type {LoadReport} from './upstream.js';
export {demandKey, UpstreamSubsets as Vicinities} from './upstreamsubsets.js';
export type {
  SubsetContext,
  UpstreamSubset as Vicinity,
} from './upstreamsubsets.js';
