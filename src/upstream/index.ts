export {CachedBlocks} from './cache.js';
export type {CacheMatch} from './cache.js';
export {ObservedState} from './condition.js';
export type {PendingPrefill as PendingStart} from './condition.js';
export {TierUsage as TierDemand} from './demand.js';
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
export {ReportPoller as ReportFollower} from './follower.js';
export {Health, HealthState} from './health.js';
export {ConcurrencyLimit as AdaptiveLimit} from './limit.js';
export type {ReportFailure} from './report.js';
export {HashRing as Ring} from './ring.js';
export {LatencyModel} from './speed.js';
export {SUBSET_SIZE, selectSubset as subsetOf} from './subset.js';
export type {FleetNode as Located} from './subset.js';
export {LeavingRegister, NoticeSource} from './leaving.js';
export type {
  KeyedNotice,
  LeavingListener,
  LeavingNotice as Notice,
} from './leaving.js';
export {Upstream} from './upstream.js';
export type {LoadReport} from './upstream.js';
export {demandKey, UpstreamSubsets as Vicinities} from './vicinity.js';
export type {SubsetContext, UpstreamSubset as Vicinity} from './vicinity.js';
