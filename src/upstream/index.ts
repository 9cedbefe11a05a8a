export {CachedBlocks} from './cache.js';
export type {CacheMatch} from './cache.js';
export {Condition} from './condition.js';
export type {PendingStart} from './condition.js';
export {TierDemand} from './demand.js';
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
export {ReportFollower} from './follower.js';
export {Health, HealthState} from './health.js';
export {AdaptiveLimit} from './limit.js';
export type {ReportFailure} from './report.js';
export {Ring} from './ring.js';
export {Speed} from './speed.js';
export {SUBSET_SIZE, subsetOf} from './subset.js';
export type {Located} from './subset.js';
export {LeavingRegister, NoticeSource} from './leaving.js';
export type {KeyedNotice, LeavingListener, Notice} from './leaving.js';
export {Upstream} from './upstream.js';
export type {LoadReport} from './upstream.js';
export {demandKey, Vicinities} from './vicinity.js';
export type {Surroundings, Vicinity} from './vicinity.js';
