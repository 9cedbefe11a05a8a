import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {HttpFeed} from '../platform/feed.js';
import {encodeRecord} from '../platform/records.js';
import {Follower} from '../src/registry/follower.js';
import {StoreEpoch} from '../src/registry/storeepoch.js';
import {Topic} from '../src/registry/index.js';
import {Level, openStderrLogger} from '../src/telemetry/index.js';
import {SystemTimer} from '../src/timer/index.js';
import {
  Availability,
  startKeyedStore,
  type KeyedStoreStandIn,
} from '../stand-ins/index.js';
import {LOOPBACK} from '../stand-ins/loopback.js';

const OTHER_HOST = '127.0.0.2';
const TIMEOUTS = {connectMs: 300, responseMs: 300};

let store: KeyedStoreStandIn;
let feed: HttpFeed;

beforeEach(async () => {
  store = await startKeyedStore(0, {}, LOOPBACK);
  feed = new HttpFeed(`${LOOPBACK}:${store.port}`, LOOPBACK, TIMEOUTS);
});
afterEach(() => store.close());

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));
const publish = (key: string, text: string) =>
  store.log.append('keyed.op', key, Buffer.from(text));
const textsOf = (records: Array<{key: string; value?: Buffer}>) =>
  records.map(({key, value}) => `${key}=${value?.toString() ?? ''}`);

/** Loses the newest record of a configuration topic with three of them. */
async function restoreWithoutNewest(): Promise<void> {
  for (const text of ['one', 'two']) publish('config', text);
  await sleep(60);
  publish('config', 'three');
  store.log.restore(30);
}

test('a feed reads, waits for and writes records of the store', async () => {
  publish('config', 'one');
  publish('other', 'two');
  store.log.append('keyed.op', 'other');
  const snapshot = (await feed.snapshot(Topic.Configuration))._unsafeUnwrap();
  expect({...snapshot, records: textsOf(snapshot.records)}).toEqual({
    records: ['config=one'],
    end: 3,
    epoch: 1,
  });
  const waiting = feed.read(Topic.Configuration, 3, 1_000);
  await sleep(20);
  publish('config', 'late');
  expect((await waiting)._unsafeUnwrap()).toMatchObject({
    type: 'records',
    records: [{key: 'config', value: Buffer.from('late'), offset: 3}],
    end: 4,
  });
  const address = Buffer.from('address');
  const written = await feed.put(Topic.Instances, 'entry-1', address);
  expect(written._unsafeUnwrap()).toEqual({epoch: 1});
  expect(textsOf(store.log.newest('keyed.gypsumcourse'))).toEqual([
    'entry-1=address',
  ]);
});

test('a restored store gives out its offsets again', async () => {
  await restoreWithoutNewest();
  expect(await feed.read(Topic.Configuration, 3, 500)).toMatchObject({
    value: {type: 'expired', first: 0, epoch: 2},
  });
  publish('config', 'four');
  const page = (await feed.read(Topic.Configuration, 2, 0))._unsafeUnwrap();
  expect(page).toMatchObject({
    records: [{value: Buffer.from('four'), offset: 2}],
    end: 3,
    epoch: 2,
  });
});

test('a read that waits learns of a restoration', async () => {
  publish('config', 'one');
  await sleep(20);
  const waiting = feed.read(Topic.Configuration, 1, 5_000);
  await sleep(20);
  store.log.restore(1_000);
  expect(await waiting).toMatchObject({value: {type: 'expired', epoch: 2}});
});

test('every answer names the epoch, also those that refuse', async () => {
  await restoreWithoutNewest();
  store.log.restore(0);
  const put = () => feed.put(Topic.Instances, 'entry-1', Buffer.from('a'));
  expect((await put())._unsafeUnwrap()).toEqual({epoch: 3});
  store.log.trim('keyed.op', 1);
  expect(await feed.read(Topic.Configuration, 0, 0)).toMatchObject({
    value: {type: 'expired', first: 1, epoch: 3},
  });
  for (const [availability, status] of [
    [Availability.Refuses, 503],
    [Availability.Limits, 429],
  ] as const) {
    store.change({availability});
    const failure = {type: 'refused', status, epoch: 3};
    expect([
      (await put())._unsafeUnwrapErr(),
      (await feed.snapshot(Topic.Upstreams))._unsafeUnwrapErr(),
      (await feed.read(Topic.Upstreams, 0, 0))._unsafeUnwrapErr(),
    ]).toEqual([failure, failure, failure]);
  }
  store.change({availability: Availability.Serves});
  const append = async (query: string) => {
    const url = `${store.url}/v1/log-append?part=0&${query}`;
    const body = new Uint8Array(encodeRecord('k', Buffer.from('v')));
    const {status, headers} = await fetch(url, {method: 'POST', body});
    return [status, headers.get('store-era')];
  };
  expect([
    await append('topic=keyed.gypsumcourse&at=7'),
    await append('topic=keyed.servers'),
    await append('topic=keyed.gypsumcourse&at=1'),
  ]).toEqual([
    [412, '3'],
    [403, '3'],
    [200, '3'],
  ]);
});

test('an answer on its way keeps the epoch in which it was given', async () => {
  await restoreWithoutNewest();
  store.change({delayMs: 80});
  const early = feed.read(Topic.Configuration, 0, 0);
  await sleep(40);
  store.log.restore(0);
  store.change({delayMs: 0});
  const late = await feed.read(Topic.Configuration, 0, 0);
  expect([late, await early]).toMatchObject([
    {value: {epoch: 3}},
    {value: {epoch: 2}},
  ]);
});

test('a restoration between the pages of a snapshot interrupts it', async () => {
  for (let n = 0; n < 6; n++) publish(`key-${n}`, 'value');
  store.change({pageRecords: 2, delayMs: 20});
  const whole = (await feed.snapshot(Topic.Configuration))._unsafeUnwrap();
  expect(whole.records).toHaveLength(6);
  const snapshot = feed.snapshot(Topic.Configuration);
  await sleep(30);
  store.log.restore(0);
  expect(await snapshot).toMatchObject({
    error: {type: 'interrupted', epoch: 2},
  });
});

test('the store may be away for all or for one of its callers', async () => {
  publish('config', 'one');
  const other = new HttpFeed(`${LOOPBACK}:${store.port}`, OTHER_HOST, TIMEOUTS);
  const read = (reader: HttpFeed) => reader.read(Topic.Configuration, 0, 0);
  store.change({callers: {[OTHER_HOST]: Availability.Resets}});
  expect([await read(feed), await read(other)]).toMatchObject([
    {value: {end: 1}},
    {error: {type: 'unreachable'}},
  ]);
  const waiting = feed.read(Topic.Configuration, 1, 2_000);
  await sleep(20);
  store.change({availability: Availability.Refuses, callers: {}});
  expect(await waiting).toMatchObject({error: {status: 503}});
  store.change({availability: Availability.Silent});
  expect(await read(other)).toMatchObject({error: {type: 'timeout'}});
  store.change({availability: Availability.Serves});
  expect(await read(other)).toMatchObject({value: {end: 1}});
  expect(store.calls).toMatchObject({reads: 5, failed: 3});
});

/**
 * Passes calls on to the store, and answers without a length. Pages of records
 * that exceed `cutAt` bytes end there.
 */
class UnframedStore {
  cutAt = Infinity;
  /** Pages that were cut. */
  cuts = 0;
  private readonly server: Server = createServer((message, response) => {
    const path = message.url ?? '';
    const relayed = fetch(`${store.url}${path}`).then(async answer => {
      const body = Buffer.from(await answer.arrayBuffer());
      const isCut = path.startsWith('/v1/log-read') && body.length > this.cutAt;
      if (isCut) this.cuts++;
      response.removeHeader('transfer-encoding');
      const epoch = answer.headers.get('store-era') ?? '';
      response.writeHead(answer.status, {'store-era': epoch});
      response.end(isCut ? body.subarray(0, this.cutAt) : body);
    });
    // The store may close while a read waits.
    relayed.catch(() => response.destroy());
  });

  async listen(): Promise<number> {
    await new Promise<void>(done => this.server.listen(0, LOOPBACK, done));
    return (this.server.address() as AddressInfo).port;
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

const PAGE_HEADER_BYTES = 16;
const RECORD_BYTES = encodeRecord('late-0', Buffer.from('value')).length;

test.each([
  ['in its header', PAGE_HEADER_BYTES - 8],
  ['after its header', PAGE_HEADER_BYTES],
  ['in a record', PAGE_HEADER_BYTES + RECORD_BYTES - 1],
])('a page that is cut %s is not the end of the topic', async (_, cutAt) => {
  publish('early', 'value');
  const proxy = new UnframedStore();
  const port = await proxy.listen();
  const timer = new SystemTimer();
  const logger = openStderrLogger(Level.Silent);
  const keys: string[] = [];
  const follower = new Follower(
    {
      instance: 'entry-1',
      epochs: new StoreEpoch(logger, timer),
      rankOf: () => 0,
      learned: () => undefined,
      feed: new HttpFeed(`${LOOPBACK}:${port}`, LOOPBACK, TIMEOUTS),
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
  await expect.poll(() => follower.ageMs()).toBeLessThan(200);
  proxy.cutAt = cutAt;
  for (const n of [0, 1, 2]) publish(`late-${n}`, 'value');
  await sleep(600);
  expect(follower.ageMs()).toBeGreaterThan(400);
  expect(proxy.cuts).toBeGreaterThan(1);
  expect(proxy.cuts).toBeLessThan(12);
  proxy.cutAt = Infinity;
  await expect.poll(() => keys).toEqual(['late-0', 'late-1', 'late-2']);
  await expect.poll(() => follower.ageMs()).toBeLessThan(200);
  subscription.end();
  proxy.close();
});

test('a page that is cut between its records is read on', async () => {
  for (const n of [0, 1, 2]) publish(`late-${n}`, 'value');
  const proxy = new UnframedStore();
  const port = await proxy.listen();
  proxy.cutAt = PAGE_HEADER_BYTES + RECORD_BYTES;
  const cutFeed = new HttpFeed(`${LOOPBACK}:${port}`, LOOPBACK, TIMEOUTS);
  const page = (await cutFeed.read(Topic.Configuration, 0, 0))._unsafeUnwrap();
  expect(page).toMatchObject({records: [{key: 'late-0'}], end: 3});
  proxy.close();
});
