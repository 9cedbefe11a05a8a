import {setImmediate} from 'node:timers/promises';
import {ok} from 'neverthrow';
import {expect, test} from 'vitest';
import {
  Follower,
  memoryOf,
  StoreEpoch,
  Topic,
  type Feed,
  type KeyedRecord,
  type KnownRecord,
} from '../src/registry/index.js';
import {Level, openStderrLogger} from '../src/telemetry/index.js';
import {SystemTimer} from '../src/timer/index.js';

const POLL = {timeout: 20_000};
const MAX_TOPIC_BYTES = 64 * 1024;
const PAGE_RECORDS = 16;

/** A topic whose reads tell of new keys, of which its snapshots have none. */
class FloodedTopic implements Feed {
  isFlooded = false;
  /** Whether each read leaves a record to be read, and tells of one key. */
  isAhead = false;
  private end = 1;
  /** Reads and snapshots that were answered. */
  calls = 0;

  snapshot() {
    this.calls++;
    const records = [{key: 'kept', value: Buffer.from('kept'), offset: 0}];
    return Promise.resolve(ok({records, end: this.end, epoch: 0}));
  }

  async read(_topic: Topic, from: number) {
    await setImmediate();
    this.calls++;
    const records: KeyedRecord[] = this.isFlooded
      ? Array.from({length: PAGE_RECORDS}, (_, index) => ({
          key: this.isAhead ? 'kept' : `key-${from + index}`,
          value: Buffer.alloc(1024),
          offset: from + index,
        }))
      : [];
    this.end = from + records.length;
    const type = 'records' as const;
    const end = this.isAhead ? this.end + 1 : this.end;
    return ok({type, records, end, epoch: 0});
  }

  put() {
    return Promise.resolve(ok({epoch: 0}));
  }
}

/** Follows a topic with what is known of it. */
function follow(feed: Feed) {
  const timer = new SystemTimer();
  const logger = openStderrLogger(Level.Silent);
  const known = new Map<string, KeyedRecord>();
  const memory = {highestBytes: 0};
  const add = (records: KnownRecord[]) => {
    for (const record of records) known.set(record.key, record);
    const sizes = [...known.values()].map(memoryOf);
    const bytes = sizes.reduce((sum, size) => sum + size, 0);
    memory.highestBytes = Math.max(memory.highestBytes, bytes);
    return records;
  };
  const follower = new Follower(
    {
      instance: 'entry-1',
      epochs: new StoreEpoch(logger, timer),
      rankOf: () => 0,
      learned: () => undefined,
      feed,
      topic: Topic.Upstreams,
      timer,
      logger,
      random: () => 0.5,
      readPauseMs: 1,
      waitMs: 0,
      maxTopicBytes: MAX_TOPIC_BYTES,
    },
    {
      replaced: records => {
        known.clear();
        return add(records);
      },
      added: add,
      known: () => [...known.values()],
    },
  );
  return {follower, timer, known, memory};
}

// Guards against a store whose keys fill the memory of an instance, page by page.
test('new keys without end are not kept, and the topic is followed after them', async () => {
  const feed = new FloodedTopic();
  const {follower, timer, known, memory} = follow(feed);
  const subscription = follower.start();
  await expect.poll(() => known.size, POLL).toBe(1);
  feed.isFlooded = true;
  const calls = feed.calls;
  await expect.poll(() => feed.calls, POLL).toBeGreaterThan(calls + 20);
  feed.isFlooded = false;
  expect(memory.highestBytes).toBeGreaterThan(MAX_TOPIC_BYTES / 2);
  expect(memory.highestBytes).toBeLessThanOrEqual(MAX_TOPIC_BYTES);
  const endedAt = timer.now();
  await expect.poll(() => follower.isReadSince(endedAt), POLL).toBe(true);
  subscription.end();
});

// Guards against reads that are all kept while the store is always ahead.
test('a topic whose end is never reached is read call by call', async () => {
  const feed = new FloodedTopic();
  const {follower, known} = follow(feed);
  const subscription = follower.start();
  await expect.poll(() => known.size, POLL).toBe(1);
  feed.isFlooded = true;
  feed.isAhead = true;
  const calls = feed.calls;
  await expect.poll(() => feed.calls, POLL).toBeGreaterThan(calls + 20);
  subscription.end();
  const callsAtEnd = feed.calls;
  for (let turn = 0; turn < 100; turn++) await setImmediate();
  feed.isAhead = false;
  // The call that was under way.
  expect(feed.calls).toBeLessThanOrEqual(callsAtEnd + 1);
});
