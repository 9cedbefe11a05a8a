export {EntryState, isSameStart, supersedes} from './entry.js';
export type {Entry} from './entry.js';
export {FEED_LIMITS, Topic} from './feed.js';
export type {
  Feed,
  FeedFailure,
  FeedLimits,
  KeyedRecord,
  Page,
  Snapshot,
} from './feed.js';
export {Follower} from './follower.js';
export type {FollowerListener, FollowerSpec} from './follower.js';
export {Registry} from './registry.js';
export type {RegistryParts} from './registry.js';
