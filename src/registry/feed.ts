import type {Result} from 'neverthrow';

/** A topic of the platform's store that keeps the newest record of each key. */
export enum Topic {
  /** What operators publish. */
  Configuration = 'configuration',
  /** What upstreams say of themselves. */
  Upstreams = 'upstreams',
  /** Where instances say how the others reach them. */
  Instances = 'instances',
}

/** One record. Without a value, its key was removed. */
export interface KeyedRecord {
  key: string;
  value?: Buffer;
  offset: number;
}

/** The newest record of each key. */
export interface Snapshot {
  records: KeyedRecord[];
  /** Offset after the last record of the topic. */
  end: number;
}

/** What a read from an offset found. */
export type Page =
  | {type: 'records'; records: KeyedRecord[]; end: number}
  /** The records at that offset are no longer kept. */
  | {type: 'expired'; first: number};

/** Why a call to the store gave nothing. */
export type FeedFailure =
  | {type: 'unreachable'; cause: string}
  | {type: 'timeout'; limitMs: number}
  | {type: 'refused'; status: number}
  | {type: 'malformed'; reason: string};

/** How long calls to the store may take, in ms. */
export interface FeedLimits {
  connectMs: number;
  /** Time for an answer, beyond what the call asks the store to wait. */
  answerMs: number;
}

/**
 * Limits of calls. The time for an answer is a few times what a slow store was
 * seen to need, and below the age at which a configuration counts as old.
 */
export const FEED_LIMITS: FeedLimits = {connectMs: 800, answerMs: 1_000};

/** Keyed topics of the platform's store. */
export interface Feed {
  /** Reads the newest record of each key. */
  snapshot(topic: Topic): Promise<Result<Snapshot, FeedFailure>>;
  /** Writes the newest record of a key of a topic of our own. */
  put(
    topic: Topic.Instances,
    key: string,
    value: Buffer,
  ): Promise<Result<void, FeedFailure>>;
  /** Reads records from an offset on; waits up to `waitMs` for the first. */
  read(
    topic: Topic,
    from: number,
    waitMs: number,
  ): Promise<Result<Page, FeedFailure>>;
}
