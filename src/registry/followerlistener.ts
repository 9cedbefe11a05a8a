import type {KeyedRecord} from './feed.js';
import type {KnownRecord} from './topicstatus.js';

/** Receives the records that a [[Follower]] reads or peers send. */
export interface FollowerListener {
  /**
   * Called with a snapshot: the newest record of every key. Returns what it
   * changed, with a record without value for each key that is gone. If it may
   * be `outdated`, the store or a peer may lack records that are known here.
   */
  replaced(records: KnownRecord[], outdated: boolean): KeyedRecord[];
  /**
   * Called with new records, in the order of the topic. Returns those that
   * changed something, which the other instances have to know.
   */
  added(records: KnownRecord[]): KeyedRecord[];
  /** All that is known, from which another instance can start. */
  known(): KnownRecord[];
}
