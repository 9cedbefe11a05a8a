import {createServer} from 'node:http';
import {afterEach, describe, expect, test} from 'vitest';
import {HttpFeed} from '../platform/feed.js';
import {listen} from '../src/forward/index.js';
import {FEED_TIMEOUTS, Topic, type FeedFailure} from '../src/registry/index.js';
import {Follower} from '../src/registry/follower.js';
import {StoreEpoch} from '../src/registry/storeepoch.js';
import {Level, openStderrLogger} from '../src/telemetry/index.js';
import {SystemTimer} from '../src/timer/index.js';
import {startKeyedStore, type KeyedStoreStandIn} from '../stand-ins/index.js';
import {LOOPBACK} from '../stand-ins/loopback.js';
import {
  CHUNKED,
  closeAll,
  flood,
  openUpstream,
  UNFRAMED,
  untilClosed,
  type EndlessAnswer,
} from './support/endless.js';
import {MemorySampler} from './support/flood.js';

/** Most memory that a call may take, in bytes. */
const CALL_BYTES = 24 * 1024 * 1024;
const OK = 'HTTP/1.1 200 OK\r\n';
const FAILED = 'HTTP/1.1 503 Unavailable\r\n';
const PART_BYTES = 16 * 1024;
/** Longest wait for what has to happen, whenever it does. */
const POLL = {timeout: 10_000};
const LARGE_CHUNK = `4000\r\n${'x'.repeat(PART_BYTES)}\r\n`;

afterEach(closeAll);

interface EndlessStoreAnswer extends EndlessAnswer {
  failure: FeedFailure['type'];
}

const ANSWERS: EndlessStoreAnswer[] = [
  {
    name: 'a page in large chunks',
    start: () => `${OK}${CHUNKED}\r\n`,
    unit: LARGE_CHUNK,
    failure: 'tooLong',
  },
  {
    name: 'a page in chunks of one byte',
    start: () => `${OK}${CHUNKED}\r\n`,
    unit: '1\r\nx\r\n',
    failure: 'tooLong',
  },
  {
    name: 'a page without a length',
    start: () => `${OK}${UNFRAMED}\r\n`,
    unit: 'x'.repeat(1024),
    failure: 'tooLong',
  },
  {
    name: 'a failure in large chunks',
    start: () => `${FAILED}${CHUNKED}\r\n`,
    unit: LARGE_CHUNK,
    failure: 'tooLong',
  },
  {
    name: 'a failure in chunks of one byte',
    start: () => `${FAILED}${CHUNKED}\r\n`,
    unit: '1\r\nx\r\n',
    failure: 'tooLong',
  },
  {
    name: 'a head',
    start: () => OK,
    unit: 'X-More: more\r\n',
    failure: 'unreachable',
  },
  {
    name: 'a line of a head',
    start: () => `${OK}X-Long: `,
    unit: 'x',
    failure: 'unreachable',
  },
  {
    name: 'a trailer',
    start: () => `${OK}${CHUNKED}\r\n0\r\n`,
    unit: 'X-More: more\r\n',
    failure: 'unreachable',
  },
  {
    name: 'interim answers',
    start: () => '',
    unit: 'HTTP/1.1 103 Early Hints\r\n\r\n',
    failure: 'timeout',
  },
  {name: 'no answer', start: () => '', unit: 'x', failure: 'unreachable'},
];

// Guards against a store whose answers fill the memory of an instance.
describe.each(ANSWERS)('$name without end', answer => {
  test.each([
    {
      call: 'a snapshot',
      make: (feed: HttpFeed) => feed.snapshot(Topic.Upstreams),
    },
    {
      call: 'a read',
      make: (feed: HttpFeed) => feed.read(Topic.Upstreams, 0, 0),
    },
    {
      call: 'a write',
      make: (feed: HttpFeed) =>
        feed.put(Topic.Instances, 'entry-1', Buffer.from('address')),
    },
  ])('for $call is broken off', async ({make}) => {
    const {port} = await openUpstream('store', 'store', flood(answer));
    const feed = new HttpFeed(`${LOOPBACK}:${port}`, LOOPBACK, FEED_TIMEOUTS);
    const memory = new MemorySampler();
    const result = await make(feed);
    await untilClosed();
    const grownBytes = memory.end();
    expect(result).toMatchObject({error: {type: answer.failure}});
    expect(grownBytes).toBeLessThan(CALL_BYTES);
  });
});

test.each([
  {name: 'full pages', items: 500, valueBytes: 1024, pages: 200},
  {name: 'pages of empty records', items: 500, valueBytes: 0, pages: 1_000},
])('a snapshot of $name without end is broken off', async page => {
  const {items, valueBytes, pages} = page;
  const value = 'x'.repeat(valueBytes);
  let served = 0;
  const server = createServer((_message, response) => {
    const first = served * items;
    served++;
    const records = Array.from({length: items}, (_, index) => ({
      key: `key-${first + index}`,
      value,
      offset: first + index,
    }));
    const end = pages * items;
    const hasMore = served < pages;
    response.end(JSON.stringify({items: records, hasMore, end}));
  });
  const port = await listen(server, {host: LOOPBACK, port: 0});
  const feed = new HttpFeed(`${LOOPBACK}:${port}`, LOOPBACK, FEED_TIMEOUTS);
  const snapshot = await feed.snapshot(Topic.Upstreams);
  server.close();
  server.closeAllConnections();
  expect(snapshot).toMatchObject({error: {type: 'tooLong'}});
});

// Guards against failures of the store's pages that take far more memory than the pages.
test('a page of many invalid records fails with a short reason', async () => {
  const items = Array.from({length: 100_000}, () => 0);
  const page = JSON.stringify({items, hasMore: false, end: 0});
  const server = createServer((_message, response) => response.end(page));
  const port = await listen(server, {host: LOOPBACK, port: 0});
  const feed = new HttpFeed(`${LOOPBACK}:${port}`, LOOPBACK, FEED_TIMEOUTS);
  const snapshot = await feed.snapshot(Topic.Upstreams);
  server.close();
  server.closeAllConnections();
  expect(snapshot).toMatchObject({error: {type: 'malformed'}});
  expect(JSON.stringify(snapshot).length).toBeLessThan(page.length);
});

/** Passes calls on to a store, or answers them without end. */
class FaultyStore {
  isEndless = false;
  private readonly server = createServer((message, response) => {
    if (this.isEndless) {
      const write = () => {
        while (!response.destroyed && response.write(Buffer.alloc(PART_BYTES)));
      };
      response.on('drain', write);
      write();
      return;
    }
    const relayed = fetch(`${this.store.url}${message.url}`).then(
      async answer => {
        const epoch = answer.headers.get('store-era') ?? '';
        response.writeHead(answer.status, {'store-era': epoch});
        response.end(Buffer.from(await answer.arrayBuffer()));
      },
    );
    // The store may close while a read waits.
    relayed.catch(() => response.destroy());
  });

  constructor(private readonly store: KeyedStoreStandIn) {}

  async listen(): Promise<number> {
    return listen(this.server, {host: LOOPBACK, port: 0});
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

test('a topic is read on once the store no longer answers without end', async () => {
  const store = await startKeyedStore(0, {}, LOOPBACK);
  const publish = (key: string) =>
    store.log.append('keyed.op', key, Buffer.from('value'));
  publish('early');
  const faulty = new FaultyStore(store);
  const port = await faulty.listen();
  const timer = new SystemTimer();
  const logger = openStderrLogger(Level.Silent);
  const epochs = new StoreEpoch(logger, timer);
  const keys: string[] = [];
  const follower = new Follower(
    {
      instance: 'entry-1',
      epochs,
      rankOf: () => 0,
      learned: () => undefined,
      feed: new HttpFeed(`${LOOPBACK}:${port}`, LOOPBACK, FEED_TIMEOUTS),
      topic: Topic.Configuration,
      timer,
      logger,
      random: () => 0.5,
      readPauseMs: 10,
      waitMs: 50,
    },
    {
      replaced: records => records,
      added: records => {
        keys.push(...records.map(({key}) => key));
        return records;
      },
      known: () => [],
    },
  );
  const subscription = follower.start();
  await expect.poll(() => follower.ageMs(), POLL).toBeLessThan(200);
  faulty.isEndless = true;
  const brokenOff = () => epochs.gauges()['store_answers_broken_off_total'];
  await expect.poll(brokenOff, POLL).toBeGreaterThan(1);
  publish('late');
  faulty.isEndless = false;
  await expect.poll(() => keys, POLL).toEqual(['late']);
  subscription.end();
  faulty.close();
  await store.close();
});
