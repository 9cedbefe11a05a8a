import type {Logger} from 'pino';
import type {Result} from 'neverthrow';
import {
  LearnedFrom,
  Reception,
  type Changes,
  type KeyedRecord,
  type StoreEpoch,
  type Topic,
  type TopicReplica,
  type TopicStatus,
} from '../registry/index.js';
import {LogEvent} from '../telemetry/logevent.js';
import type {Timer} from '../timer/index.js';
import {
  CHANGES_METHOD,
  changesQuerySchema,
  changesReplySchema,
  decodePosition,
  decodeState,
  decodeStatus,
  encodePosition,
  encodeState,
  encodeStatus,
  STATE_METHOD,
  stateQuerySchema,
  stateReplySchema,
  type GossipMessage,
  type InstanceAddress,
  type WireChanges,
} from './message.js';
import {TransferQueue} from './transferqueue.js';

/** Most bytes of changes that a gossip message carries. */
const MAX_INLINE_BYTES = 1_000;
/** Time for a peer to return what is missing here, in ms. */
const PULL_TIMEOUT_MS = 1_500;
/** Time after which another peer is asked beside one that is silent, in ms. */
const HEDGE_DELAY_MS = 400;
/** Bytes of a call beside the records. */
const REPLY_OVERHEAD_BYTES = 300;

/** Calls peers over a connection, for what doesn't fit into a datagram. */
export interface PeerCaller {
  call(
    peer: InstanceAddress,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, unknown>>;
}

/** Serves calls of peers. */
export interface PeerListener {
  handle(method: string, handler: (params: unknown) => Promise<unknown>): void;
}

/** Dependencies of [[RecordExchange]]. */
export interface RecordExchangeParts {
  epochs: StoreEpoch;
  replicas: readonly TopicReplica[];
  client: PeerCaller;
  server: PeerListener;
  timer: Timer;
  /** Capacity of the instance's own link, in bytes a second. */
  linkBytesPerSecond: number;
  logger: Logger;
}

/** What a [[GossipMessage]] tells of the topics of the store. */
export type TopicNews = Pick<
  GossipMessage,
  'epoch' | 'topics' | 'changes' | 'earlier'
>;

/**
 * Exchanges the records of the store's topics with the other instances. Small
 * changes travel with the gossip; others are fetched from the peer that told of
 * them, and so is all that it knows when the store has started a new epoch, or
 * when it has followed an earlier epoch further. Receivers decode and check a record as if it came from the store.
 */
export class RecordExchange {
  private readonly byTopic = new Map<Topic, TopicReplica>();
  /** When the newest unanswered call was made, by method and topic. */
  private readonly pulling = new Map<string, number>();
  private readonly replies: TransferQueue;

  constructor(private readonly parts: RecordExchangeParts) {
    this.replies = new TransferQueue(parts.linkBytesPerSecond);
    for (const replica of parts.replicas) {
      this.byTopic.set(replica.topic, replica);
    }
    parts.server.handle(CHANGES_METHOD, params =>
      Promise.resolve(this.serveChanges(params)),
    );
    parts.server.handle(STATE_METHOD, params =>
      Promise.resolve(this.serveState(params)),
    );
  }

  /** What this instance knows, with its state and newest changes if wanted. */
  news({
    withStatus,
    withChanges,
  }: {
    withStatus: boolean;
    withChanges: boolean;
  }): TopicNews {
    const {epochs, replicas} = this.parts;
    return {
      epoch: epochs.current,
      topics: withStatus ? this.statuses() : [],
      changes: withChanges ? this.recentChanges() : [],
      earlier: withStatus
        ? replicas.flatMap(replica =>
            replica
              .earlierPositions()
              .map(position => encodePosition(replica.topic, position)),
          )
        : [],
    };
  }

  /** What this instance knows of each topic. */
  private statuses(): GossipMessage['topics'] {
    return this.parts.replicas.flatMap(replica => {
      const status = replica.status();
      return status === undefined ? [] : [encodeStatus(status)];
    });
  }

  /** The newest changes of each topic, as far as they fit into a message. */
  private recentChanges(): WireChanges[] {
    return this.parts.replicas.flatMap(replica => {
      const {since = 0} = replica.status() ?? {};
      const kept = replica.changesFrom(since) ?? [];
      const records: KeyedRecord[] = [];
      let bytes = 0;
      for (const record of kept.toReversed()) {
        bytes += record.key.length + (record.value?.length ?? 0);
        if (bytes > MAX_INLINE_BYTES) break;
        records.unshift(record);
      }
      if (records.length === 0) return [];
      const previous = kept.at(-records.length - 1);
      const from = previous === undefined ? since : previous.offset + 1;
      return {topic: replica.topic, from, records: records.map(encodeRecord)};
    });
  }

  /** Takes what a peer at `address` knows, and fetches what is missing here. */
  receive(
    {epoch, topics, changes, earlier}: TopicNews,
    address: InstanceAddress | undefined,
  ): void {
    this.parts.epochs.learn(epoch, LearnedFrom.Peer);
    if (epoch < this.parts.epochs.current) return;
    for (const wire of topics) {
      const status = decodeStatus(wire, epoch);
      const replica = this.byTopic.get(status.topic);
      if (replica === undefined) continue;
      const sent = changes.find(({topic}) => topic === status.topic);
      const reception = replica.receive(
        status,
        sent === undefined ? undefined : decodeChanges(sent),
      );
      if (address === undefined) continue;
      switch (reception) {
        case Reception.Applied:
        case Reception.Ignored:
          break;
        case Reception.Behind:
          void this.pullChanges(replica, address);
          break;
        case Reception.Unstarted:
          void this.pullState(replica, address);
          break;
      }
    }
    if (address === undefined || earlier.length === 0) return;
    for (const replica of this.parts.replicas) {
      const positions = earlier
        .filter(([topic]) => topic === replica.topic)
        .map(decodePosition);
      if (replica.isBehind(positions)) void this.pullState(replica, address);
    }
  }

  /**
   * Asks a peer for what it knows of the topics, as an instance that has just
   * started: the store may have returned from an older copy before. Returns
   * whether the peer told of each.
   */
  async consult(
    topics: readonly Topic[],
    address: InstanceAddress,
  ): Promise<boolean> {
    const replicas = this.parts.replicas.filter(({topic}) =>
      topics.includes(topic),
    );
    const receptions = await Promise.all(
      replicas.map(replica => this.pullState(replica, address)),
    );
    return !receptions.includes(undefined);
  }

  private async pullChanges(
    replica: TopicReplica,
    address: InstanceAddress,
  ): Promise<void> {
    const {topic, end: from} = replica;
    const epoch = this.parts.epochs.current;
    const query = {topic, from, epoch};
    const calledAt = this.parts.timer.now();
    const result = await this.pull(CHANGES_METHOD, query, address);
    const reply = changesReplySchema.safeParse(result);
    if (!reply.success || reply.data === null) return;
    const {changes} = reply.data;
    const status = decodeStatus(reply.data.status, reply.data.epoch);
    replica.receive(this.agedSince(calledAt, status), decodeChanges(changes));
  }

  private async pullState(
    replica: TopicReplica,
    address: InstanceAddress,
  ): Promise<Reception | undefined> {
    const {topic} = replica;
    const epoch = this.parts.epochs.current;
    const calledAt = this.parts.timer.now();
    const result = await this.pull(STATE_METHOD, {topic, epoch}, address);
    const reply = stateReplySchema.safeParse(result);
    if (!reply.success || reply.data === null) return undefined;
    const state = decodeState(reply.data);
    return replica.receiveState({
      ...state,
      status: this.agedSince(calledAt, state.status),
    });
  }

  /** The status in the reply to a call, as old as it may be at its arrival. */
  private agedSince(calledAt: number, status: TopicStatus): TopicStatus {
    const transferMs = this.parts.timer.now() - calledAt;
    return {...status, ageMs: status.ageMs + transferMs};
  }

  /** Calls a peer; undefined if it fails or such a call was just made. */
  private async pull(
    method: string,
    query: {topic: Topic; from?: number; epoch: number},
    address: InstanceAddress,
  ): Promise<unknown> {
    const key = `${method}/${query.topic}`;
    const {client, logger, timer} = this.parts;
    const calledAt = timer.now();
    const lastAt = this.pulling.get(key) ?? -Infinity;
    if (calledAt - lastAt < HEDGE_DELAY_MS) return undefined;
    this.pulling.set(key, calledAt);
    const params = {...query, timeoutMs: PULL_TIMEOUT_MS};
    const result = await client.call(address, method, params, PULL_TIMEOUT_MS);
    if (this.pulling.get(key) === calledAt) this.pulling.delete(key);
    if (result.isOk() && result.value !== null) return result.value;
    logger.info(
      {
        event: LogEvent.Peer,
        method,
        ...query,
        address,
        failure: result.isErr() ? result.error : 'busy, or no longer kept',
      },
      'A peer did not return what is missing here.',
    );
    return undefined;
  }

  private serveChanges(params: unknown): unknown {
    const query = changesQuerySchema.safeParse(params);
    if (!query.success) return null;
    const {topic, from, epoch} = query.data;
    const replica = this.byTopic.get(topic);
    const status = replica?.status();
    const changed = replica?.changesFrom(from);
    if (status === undefined || changed === undefined) return null;
    if (epoch !== undefined && epoch !== status.epoch) return null;
    const records = newestOfEachKey(changed);
    if (!this.admitReply(records, query.data.timeoutMs)) return null;
    const changes = {topic, from, records: records.map(encodeRecord)};
    return {epoch: status.epoch, status: encodeStatus(status), changes};
  }

  private serveState(params: unknown): unknown {
    const query = stateQuerySchema.safeParse(params);
    if (!query.success) return null;
    const state = this.byTopic.get(query.data.topic)?.state();
    if (state === undefined || query.data.epoch !== state.status.epoch) {
      return null;
    }
    return this.admitReply(state.records, query.data.timeoutMs)
      ? encodeState(state)
      : null;
  }

  /** Whether there is room for a reply with these records. */
  private admitReply(
    records: readonly KeyedRecord[],
    timeoutMs: number,
  ): boolean {
    const bytes = records.reduce(
      (sum, record) => sum + encodedBytes(record),
      REPLY_OVERHEAD_BYTES,
    );
    return this.replies.admit(bytes, timeoutMs, this.parts.timer.now());
  }
}

/** Drops records that a later one replaces. */
function newestOfEachKey(records: readonly KeyedRecord[]): KeyedRecord[] {
  const newest = new Map(records.map(record => [record.key, record]));
  return records.filter(record => newest.get(record.key) === record);
}

/** Size of a record in a message, whose value is in Base64. */
function encodedBytes({key, value}: KeyedRecord): number {
  return key.length + Math.ceil((value?.length ?? 0) / 3) * 4;
}

function encodeRecord({
  offset,
  key,
  value,
}: KeyedRecord): WireChanges['records'][number] {
  return [offset, key, value === undefined ? null : value.toString('base64')];
}

function decodeChanges({from, records}: WireChanges): Changes {
  return {
    from,
    records: records.map(([offset, key, value]) =>
      value === null
        ? {offset, key}
        : {offset, key, value: Buffer.from(value, 'base64')},
    ),
  };
}
