import type {EarlierPosition} from './earlierpositions.js';
import type {KeyedRecord, Topic} from './feed.js';

/** What a read or a peer told of a topic. */
export enum Learned {
  /** Records that changed something. */
  Changes = 'changes',
  /** That what was known is still current. */
  Freshness = 'freshness',
}

/** Where an instance has learned it. */
export enum LearnedFrom {
  Store = 'store',
  Peer = 'peer',
}

/** What an instance knows of a topic, as told to its peers. */
export interface TopicStatus {
  topic: Topic;
  /** Store epoch in which the offsets were given out. */
  epoch: number;
  /** Offset after the last record known. */
  end: number;
  /** The instance knows all changes from this offset on one by one. */
  since: number;
  /** Offset after the last change; `since` if there is none after it. */
  changedTo: number;
  /** Time since the topic is known to have ended at `end`, in ms. */
  ageMs: number;
  /** Instance that read it from the store. */
  reader: string;
}

/** Consecutive changes of a topic from the offset `from` on. */
export interface Changes {
  from: number;
  records: KeyedRecord[];
}

/** What is known of the writer of a record beyond the record. */
export enum Standing {
  /** The record is missing in the store, and still used for some time. */
  Missing = 'missing',
  /** The writer has left since, though an older copy has the record. */
  Left = 'left',
}

/** The newest record of a key, with what is known beyond it. */
export interface KnownRecord extends KeyedRecord {
  standing?: Standing;
  /** Time for which a missing record is still used, in ms. */
  graceMs?: number;
}

/** All that an instance knows of a topic, for one that starts in an epoch. */
export interface TopicState {
  status: TopicStatus;
  records: KnownRecord[];
  /** How far the instance had followed earlier epochs. */
  earlier: EarlierPosition[];
}

/** What became of the status of a peer. */
export enum Reception {
  /** The topic is as fresh as the status says. */
  Applied = 'applied',
  /** It tells nothing new, or of offsets that cannot be compared. */
  Ignored = 'ignored',
  /** The peer knows changes that are missing here. */
  Behind = 'behind',
  /** The peer knows the topic in an epoch in which it isn't known here. */
  Unstarted = 'unstarted',
}
