import {afterEach, beforeEach, expect, test} from 'vitest';
import {HttpFeed} from '../platform/feed.js';
import {encodeRecord} from '../platform/records.js';
import {Topic} from '../src/registry/index.js';
import {
  Availability,
  startKeyedStore,
  type KeyedStoreStandIn,
} from '../stand-ins/index.js';

const HOST = '127.0.0.1';
const OTHER_HOST = '127.0.0.2';
const TIMEOUTS = {connectMs: 300, responseMs: 300};

let store: KeyedStoreStandIn;
let feed: HttpFeed;

beforeEach(async () => {
  store = await startKeyedStore();
  feed = new HttpFeed(`${HOST}:${store.port}`, HOST, TIMEOUTS);
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
  const other = new HttpFeed(`${HOST}:${store.port}`, OTHER_HOST, TIMEOUTS);
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
