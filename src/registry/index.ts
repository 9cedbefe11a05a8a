export {EntryState, isSameProcess, processAt, supersedes} from './entry.js';
export type {RegistryEntry} from './entry.js';
export {FEED_TIMEOUTS, Topic} from './feed.js';
export type {
  Acknowledgement,
  Feed,
  FeedFailure,
  FeedTimeouts,
  KeyedRecord,
  FeedPage,
  Snapshot,
} from './feed.js';
export type {EarlierPosition} from './earlierpositions.js';
export {Follower} from './follower.js';
export type {FollowerOptions} from './follower.js';
export {ReadSchedule} from './readschedule.js';
export type {KnownRead, ReadTiming} from './readschedule.js';
export {Registry} from './registry.js';
export type {RegistryParts} from './registry.js';
export {StoreEpoch} from './storeepoch.js';
export {MAX_TOPIC_BYTES, memoryOf} from './topiccontent.js';
export {TopicReplica} from './topicreplica.js';
export type {FollowerListener} from './followerlistener.js';
export type {TopicReplicaOptions} from './topicreplica.js';
export {Learned, LearnedFrom, Reception, Standing} from './topicstatus.js';
export type {
  Changes,
  KnownRecord,
  TopicState,
  TopicStatus,
} from './topicstatus.js';
