import type {Logger} from 'pino';
import type {Result} from 'neverthrow';
import {
  Reception,
  type Changes,
  type Follower,
  type KeyedRecord,
  type Topic,
} from '../registry/index.js';
import {LogEvent} from '../telemetry/logevent.js';
import {
  CHANGES_METHOD,
  changesQuerySchema,
  changesReplySchema,
  decodeStatus,
  encodeStatus,
  type InstanceAddress,
  type WireChanges,
  type WireStatus,
} from './message.js';

/** Most bytes of changes that a gossip message carries. */
const MAX_INLINE_BYTES = 1_000;
/** Time for a peer to return the changes that are missing here, in ms. */
const PULL_TIMEOUT_MS = 400;

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
  followers: readonly Follower[];
  client: PeerCaller;
  server: PeerListener;
  logger: Logger;
}

/**
 * Exchanges the records of the store's topics with the other instances. Small
 * changes travel with the gossip; others are fetched from the peer that told of
 * them. Receivers decode and check a record as if it came from the store.
 */
export class RecordExchange {
  private readonly byTopic = new Map<Topic, Follower>();
  /** Topics whose missing changes are being fetched. */
  private readonly pulling = new Set<Topic>();

  constructor(private readonly parts: RecordExchangeParts) {
    for (const follower of parts.followers) {
      this.byTopic.set(follower.topic, follower);
    }
    parts.server.handle(CHANGES_METHOD, params =>
      Promise.resolve(this.serveChanges(params)),
    );
  }

  /** What this instance knows of each topic. */
  statuses(): WireStatus[] {
    return this.parts.followers.flatMap(follower => {
      const status = follower.status();
      return status === undefined ? [] : [encodeStatus(status)];
    });
  }

  /** The newest changes of each topic, as far as they fit into a message. */
  recentChanges(): WireChanges[] {
    return this.parts.followers.flatMap(follower => {
      const {since = 0} = follower.status() ?? {};
      const kept = follower.changesFrom(since) ?? [];
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
      return {topic: follower.topic, from, records: records.map(encodeRecord)};
    });
  }

  /** Takes what a peer at `address` knows, and fetches what is missing here. */
  receive(
    statuses: readonly WireStatus[],
    changes: readonly WireChanges[],
    address: InstanceAddress | undefined,
  ): void {
    for (const status of statuses.map(decodeStatus)) {
      const follower = this.byTopic.get(status.topic);
      if (follower === undefined) continue;
      const sent = changes.find(({topic}) => topic === status.topic);
      const reception = follower.receive(
        status,
        sent === undefined ? undefined : decodeChanges(sent),
      );
      if (reception === Reception.Behind && address !== undefined) {
        void this.pull(follower, address);
      }
    }
  }

  private async pull(
    follower: Follower,
    address: InstanceAddress,
  ): Promise<void> {
    const {topic, end: from} = follower;
    if (this.pulling.has(topic)) return;
    this.pulling.add(topic);
    const result = await this.parts.client.call(
      address,
      CHANGES_METHOD,
      {topic, from},
      PULL_TIMEOUT_MS,
    );
    this.pulling.delete(topic);
    const reply = changesReplySchema.safeParse(
      result.isOk() ? result.value : undefined,
    );
    if (reply.success && reply.data !== null) {
      const {status, changes} = reply.data;
      follower.receive(decodeStatus(status), decodeChanges(changes));
      return;
    }
    this.parts.logger.info(
      {
        event: LogEvent.Peer,
        topic,
        from,
        address,
        failure: result.isErr() ? result.error : 'no longer kept',
      },
      'A peer did not return the changes that are missing here.',
    );
  }

  private serveChanges(params: unknown): unknown {
    const query = changesQuerySchema.safeParse(params);
    if (!query.success) return null;
    const {topic, from} = query.data;
    const follower = this.byTopic.get(topic);
    const status = follower?.status();
    const records = follower?.changesFrom(from);
    if (status === undefined || records === undefined) return null;
    const changes = {topic, from, records: records.map(encodeRecord)};
    return {status: encodeStatus(status), changes};
  }
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
