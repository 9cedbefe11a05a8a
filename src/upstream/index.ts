export {CachedBlocks} from './cachedblocks.js';
export type {CacheMatch} from './cachedblocks.js';
export {Condition} from './observedstate.js';
export type {PendingStart} from './observedstate.js';
export {TierDemand} from './tierusage.js';
export {Directory, holds, offers, takesWork} from './directory.js';
export {
  BLOCK_CHARACTERS,
  BLOCK_TOKENS,
  CHARACTERS_PER_TOKEN,
  prefixBlocks,
  promptText,
  promptTokens,
} from './prefix.js';
export type {PromptBody, PromptMessage} from './prefix.js';
export {ReportFollower} from './reportpoller.js';
export {Health, HealthState} from './health.js';
export {AdaptiveLimit} from './concurrencylimit.js';
export type {ReportFailure} from './report.js';
export {Ring} from './hashring.js';
export {Speed} from './latencymodel.js';
export {SUBSET_SIZE, subsetOf} from './subsetting.js';
export type {Located} from './subsetting.js';
export {LeavingRegister, NoticeSource} from './leaving.js';
export type {KeyedNotice, LeavingListener, Notice} from './leaving.js';
export {Upstream} from './upstream.js';
export type {LoadReport} from './upstream.js';
export {demandKey, Vicinities} from './upstreamsubsets.js';
export type {Surroundings, Vicinity} from './upstreamsubsets.js';
