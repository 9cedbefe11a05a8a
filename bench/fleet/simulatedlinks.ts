import {err, type Result} from 'neverthrow';
import {
  FEED_TIMEOUTS,
  type Feed,
  type FeedFailure,
  type FeedPage,
  type KeyedRecord,
} from '../../src/registry/index.js';
import type {Timer} from '../../src/timer/index.js';
import {SharedLink} from '../../stand-ins/sharedlink.js';

/** Most bytes of records that the store returns to a read. */
const MAX_PAGE_BYTES = 1024 * 1024;

/** Capacity of the links of a simulated deployment, in bytes a second. */
export interface LinkCapacity {
  /** Each direction of an instance's own link. */
  instance: number;
  /** Each direction between two regions, for all traffic together. */
  region: number;
}

/** Where one end of a transfer is. Without a name, its own link is wide. */
export interface LinkEnd {
  name?: string;
  region: string;
}

/** The links over which instances reach each other and the store. */
export class SimulatedLinks {
  private readonly links = new Map<string, SharedLink>();

  constructor(private readonly capacity: LinkCapacity) {}

  /** Queues bytes and returns when they have arrived, in monotonic ms. */
  transmit(from: LinkEnd, to: LinkEnd, bytes: number, now: number): number {
    const {instance, region} = this.capacity;
    let at = now;
    if (from.name !== undefined) {
      at = this.link(`from ${from.name}`, instance).transmit(bytes, at);
    }
    if (from.region !== to.region) {
      const key = `${from.region} to ${to.region}`;
      at = this.link(key, region).transmit(bytes, at);
    }
    if (to.name !== undefined) {
      at = this.link(`to ${to.name}`, instance).transmit(bytes, at);
    }
    return at;
  }

  private link(key: string, bytesPerSecond: number): SharedLink {
    const link = this.links.get(key) ?? new SharedLink(bytesPerSecond);
    this.links.set(key, link);
    return link;
  }
}

/**
 * A feed whose responses travel over links from the store at `store` to the
 * instance at `to`. What arrives after the call's time limit is lost, and has
 * taken its part of the links.
 */
export function feedOverLinks(
  feed: Feed,
  links: SimulatedLinks,
  store: LinkEnd,
  to: LinkEnd,
  timer: Timer,
): Feed {
  const receive = async <Value>(
    call: Promise<Result<Value, FeedFailure>>,
    limitMs: number,
    recordsOf: (value: Value) => readonly KeyedRecord[],
  ): Promise<Result<Value, FeedFailure>> => {
    const deadline = timer.now() + limitMs;
    const result = await call;
    if (result.isErr()) return result;
    const bytes = bytesOf(recordsOf(result.value));
    const at = links.transmit(store, to, bytes, timer.now());
    await timer.sleep(Math.min(at, deadline) - timer.now());
    return at > deadline ? err({type: 'timeout', limitMs}) : result;
  };
  const {responseMs} = FEED_TIMEOUTS;
  return {
    snapshot: topic =>
      receive(feed.snapshot(topic), responseMs, ({records}) => records),
    read: (topic, from, waitMs, maxBytes = MAX_PAGE_BYTES) =>
      receive(
        feed
          .read(topic, from, waitMs)
          .then(result => result.map(page => limitPage(page, maxBytes))),
        waitMs + responseMs,
        page => (page.type === 'records' ? page.records : []),
      ),
    put: (...args) => feed.put(...args),
  };
}

function limitPage(page: FeedPage, maxBytes: number): FeedPage {
  if (page.type !== 'records') return page;
  let bytes = 0;
  const records = page.records.filter(record => {
    bytes += bytesOf([record]);
    return bytes <= maxBytes;
  });
  return {...page, records};
}

function bytesOf(records: readonly KeyedRecord[]): number {
  return records.reduce(
    (sum, {key, value}) => sum + key.length + (value?.length ?? 0),
    0,
  );
}
