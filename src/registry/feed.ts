import type {Result} from 'neverthrow';

/** A topic of the platform's store that keeps the newest record of each key. */
export enum Topic {
  /** Routing configurations, published by operators. */
  Configuration = 'configuration',
  /** Entries by which upstreams register themselves. */
  Upstreams = 'upstreams',
  /** Addresses at which instances receive gossip. */
  Instances = 'instances',
}

/** One record of a topic. A record without a value removes its key. */
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
  /** Store epoch of the response. */
  epoch: number;
}

/** Result of a read from an offset, with the store epoch of the response. */
export type FeedPage =
  /** Consecutive records; `end` is the offset after the last of the topic. */
  | {type: 'records'; records: KeyedRecord[]; end: number; epoch: number}
  /**
   * The store doesn't have the offset: it is no longer retained, or beyond the
   * end. `first` is the oldest that is retained.
   */
  | {type: 'expired'; first: number; epoch: number};

/** Result of a write. */
export interface Acknowledgement {
  /** Store epoch in which the record was written. */
  epoch: number;
}

/** Why a call to the store failed. */
export type FeedFailure =
  | {type: 'unreachable'; cause: string}
  | {type: 'timeout'; limitMs: number}
  /** The store answered with an error status. */
  | {type: 'refused'; status: number; epoch?: number}
  /** The response does not follow the store's protocol. */
  | {type: 'malformed'; reason: string; epoch?: number}
  /** The response is longer than the protocol allows; it was broken off. */
  | {type: 'tooLong'; limitBytes: number}
  /** The epoch rose between the pages of a snapshot, to `epoch`. */
  | {type: 'interrupted'; epoch: number};

/** Timeouts of calls to the store, in ms. */
export interface FeedTimeouts {
  connectMs: number;
  /** Time for the response, beyond the wait that the call asks for. */
  responseMs: number;
}

/**
 * Timeouts of calls to the store. The time for a response is a few times what
 * a slow store needs, and below the age at which a configuration is stale.
 */
export const FEED_TIMEOUTS: FeedTimeouts = {connectMs: 800, responseMs: 1_000};

/**
 * Client of the keyed topics in the platform's store. Each response tells the
 * store epoch, a non-negative integer, 0 if the store names none. It rises when
 * the store has returned from an older copy of its data: what it acknowledged
 * since is lost, and it gives out the offsets after the copy again.
 */
export interface Feed {
  /** Reads the newest record of each key. */
  snapshot(topic: Topic): Promise<Result<Snapshot, FeedFailure>>;
  /** Writes a record. Instances write to their own topic only. */
  put(
    topic: Topic.Instances,
    key: string,
    value: Buffer,
  ): Promise<Result<Acknowledgement, FeedFailure>>;
  /**
   * Reads the records from an offset on, about `maxBytes` of them; waits up to
   * `waitMs` for one. The store limits the bytes if `maxBytes` is absent.
   */
  read(
    topic: Topic,
    from: number,
    waitMs: number,
    maxBytes?: number,
  ): Promise<Result<FeedPage, FeedFailure>>;
}
