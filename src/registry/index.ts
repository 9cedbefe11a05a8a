export {EntryState, isSameStart, supersedes} from './entry.js';
export type {Entry} from './entry.js';
export {Topic} from './feed.js';
export type {Feed, FeedFailure, KeyedRecord, Page, Snapshot} from './feed.js';
export {Follower} from './follower.js';
export type {FollowerListener, FollowerSpec} from './follower.js';
export {Registry} from './registry.js';
export type {RegistryParts} from './registry.js';
