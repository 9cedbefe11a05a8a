import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {err, ok} from 'neverthrow';
import {pino} from 'pino';
import {describe, expect, it, onTestFinished} from 'vitest';
import {HttpFeed} from '../platform/feed.js';
import {
  EntryState,
  FEED_TIMEOUTS,
  LearnedFrom,
  StoreEpoch,
  Topic,
} from '../src/registry/index.js';
import {ManualTimer} from '../src/timer/index.js';
import {LOOPBACK} from '../stand-ins/loopback.js';
import {FollowingFleet} from './support/returningstore.js';

/** Registers upstreams with consecutive numbers. */
function registerAll(
  {store}: FollowingFleet,
  from: number,
  to: number,
  prefix = 'u',
): void {
  for (let index = from; index < to; index++) {
    store.register(`${prefix}${index}`, 1);
  }
}

describe('when the store returns from an older copy', () => {
  it('misses no record that was given an offset of a lost one', async () => {
    const fleet = new FollowingFleet();
    registerAll(fleet, 0, 90);
    const copy = fleet.store.copy();
    registerAll(fleet, 90, 100);
    const instances = await fleet.startAll(3);
    fleet.store.isAway = true;
    await fleet.advance(500);
    fleet.store.returnTo(copy);
    registerAll(fleet, 90, 105, 'new');
    await fleet.advance(4_000);
    for (const instance of instances) {
      expect(instance.fleet.upstreams.replica.end).toBe(105);
      expect(instance.upstreams()).toHaveLength(105);
      expect(instance.upstreams()).toContain('new90 ready');
    }
  });

  it.each([7, 30])('spreads the calls of %s instances', async count => {
    const fleet = new FollowingFleet();
    fleet.store.configure(1);
    registerAll(fleet, 0, 20);
    await fleet.startAll(count);
    const copy = fleet.store.copy();
    registerAll(fleet, 20, 25);
    await fleet.advance(2_000);
    fleet.store.isAway = true;
    await fleet.advance(500);
    fleet.store.returnTo(copy);
    fleet.store.calls.length = 0;
    await fleet.advance(3_000);
    const snapshots = fleet.store.calls.filter(call =>
      call.includes('snapshot'),
    );
    expect(snapshots.length).toBeLessThanOrEqual(12);
    const ends = fleet.instances.map(({fleet}) => fleet.upstreams.replica.end);
    expect(new Set(ends)).toEqual(new Set([20]));
    // Each instance publishes its address again, none twice.
    const puts = fleet.store.calls.filter(call => call.includes('put'));
    expect([puts.length, new Set(puts).size]).toEqual([count, count]);
  });

  it('keeps a configuration in force, and tells it to a new instance', async () => {
    const fleet = new FollowingFleet();
    fleet.store.configure(8);
    const instances = await fleet.startAll(3);
    const copy = fleet.store.copy();
    fleet.store.configure(9);
    await fleet.advance(1_000);
    fleet.store.isAway = true;
    await fleet.advance(3_000);
    fleet.store.returnTo(copy);
    fleet.store.configure(8);
    await fleet.advance(2_000);
    for (const {versions} of instances) expect(versions).toEqual([8, 9]);
    const restarted = fleet.start();
    await fleet.advance(100);
    expect(restarted.versions.at(-1)).toBe(9);
    fleet.store.configure(9);
    fleet.store.configure(10);
    await fleet.advance(2_000);
    for (const {versions} of instances) expect(versions).toEqual([8, 9, 10]);
    expect(restarted.versions.at(-1)).toBe(10);
  });

  it('uses no upstream again that had left, until it registers anew', async () => {
    const fleet = new FollowingFleet();
    registerAll(fleet, 0, 5);
    const [first] = await fleet.startAll(3);
    const copy = fleet.store.copy();
    fleet.store.append(Topic.Upstreams, 'u0');
    fleet.store.append(Topic.Upstreams, 'u1');
    fleet.store.append(Topic.Upstreams, 'u4');
    fleet.store.register('u2', 2, EntryState.Draining);
    await fleet.advance(1_500);
    fleet.store.isAway = true;
    await fleet.advance(1_000);
    fleet.store.returnTo(copy);
    await fleet.advance(1_500);
    const known = ['u2 draining', 'u3 ready'];
    expect(first?.upstreams()).toEqual(known);
    const restarted = fleet.start();
    await fleet.advance(100);
    expect(restarted.upstreams()).toEqual(known);
    fleet.store.register('u0', 2);
    fleet.store.append(Topic.Upstreams, 'u1');
    await fleet.advance(1_500);
    for (const {upstreams} of fleet.instances) {
      expect(upstreams()).toEqual(['u0 ready', ...known]);
    }
    // Nobody says otherwise, so that the store is believed in the end.
    await fleet.advance(10_000);
    for (const {upstreams} of fleet.instances) {
      expect(upstreams()).toEqual(['u0 ready', ...known, 'u4 ready']);
    }
  });

  it('keeps an upstream that the copy lacks for 2.5 seconds', async () => {
    const fleet = new FollowingFleet();
    registerAll(fleet, 0, 2);
    const copy = fleet.store.copy();
    registerAll(fleet, 2, 4);
    await fleet.startAll(3);
    fleet.store.isAway = true;
    await fleet.advance(400);
    fleet.store.returnTo(copy);
    await fleet.advance(1_000);
    const all = ['u0 ready', 'u1 ready', 'u2 ready', 'u3 ready'];
    // One that starts now uses it as well.
    fleet.start();
    await fleet.advance(100);
    for (const {upstreams} of fleet.instances) expect(upstreams()).toEqual(all);
    fleet.store.register('u2', 2);
    await fleet.advance(3_500);
    for (const {upstreams} of fleet.instances) {
      expect(upstreams()).toEqual(all.slice(0, 3));
    }
  });

  it('starts anew when the epoch rises twice, and behind a cut', async () => {
    const fleet = new FollowingFleet();
    registerAll(fleet, 0, 10);
    const copy = fleet.store.copy();
    const instances = await fleet.startAll(4);
    registerAll(fleet, 10, 20);
    await fleet.advance(1_000);
    fleet.store.cut.add('entry-1');
    fleet.store.returnTo(copy);
    registerAll(fleet, 0, 8, 'first');
    await fleet.advance(500);
    fleet.store.returnTo(copy);
    registerAll(fleet, 0, 12, 'second');
    // An instance that is frozen meanwhile starts from a peer or the store.
    instances[2]?.timer.suspend();
    await fleet.advance(1_000);
    instances[2]?.timer.resume();
    await fleet.advance(5_000);
    for (const {fleet: member, upstreams} of instances) {
      expect(member.upstreams.replica.status()).toMatchObject({
        epoch: 3,
        end: 22,
      });
      expect(upstreams()).toHaveLength(22);
      expect(upstreams().join()).not.toContain('first');
    }
  });

  it('takes a snapshot if its offset is beyond the end, without epochs', async () => {
    const fleet = new FollowingFleet();
    fleet.store.epoch = 0;
    registerAll(fleet, 0, 10);
    const copy = fleet.store.copy();
    registerAll(fleet, 10, 20);
    const [instance] = await fleet.startAll(1);
    fleet.store.returnTo(copy);
    fleet.store.epoch = 0;
    registerAll(fleet, 10, 15, 'new');
    await fleet.advance(1_000);
    expect(instance?.fleet.upstreams.replica.end).toBe(15);
    expect(instance?.upstreams()).toContain('new14 ready');
  });

  it('reads the store alone if no peer answers', async () => {
    const fleet = new FollowingFleet();
    registerAll(fleet, 0, 10);
    const copy = fleet.store.copy();
    const instances = await fleet.startAll(3);
    fleet.loss = 1;
    await fleet.advance(2_000);
    fleet.store.returnTo(copy);
    registerAll(fleet, 10, 12, 'new');
    await fleet.advance(4_000);
    for (const {upstreams} of instances) {
      expect(upstreams()).toContain('new11 ready');
    }
  });
});

describe('positions of another epoch', () => {
  it('are not compared with those of the current one', async () => {
    const fleet = new FollowingFleet();
    registerAll(fleet, 0, 10);
    const [instance] = await fleet.startAll(1);
    const replica = instance?.fleet.upstreams.replica;
    const status = {
      topic: Topic.Upstreams,
      end: 50,
      since: 0,
      changedTo: 50,
      ageMs: 0,
      reader: 'entry-9',
    };
    const late = {from: 10, records: [{key: 'u1', offset: 49}]};
    expect(replica?.receive({...status, epoch: 0}, late)).toBe('ignored');
    expect(instance?.upstreams()).toHaveLength(10);
    expect(replica?.receive({...status, epoch: 2}, late)).toBe('unstarted');
    expect(replica?.status()).toBeUndefined();
    expect(instance?.upstreams()).toHaveLength(10);
    // The answers of the store are older now, and are not believed either.
    await fleet.advance(2_000);
    expect(replica?.status()).toBeUndefined();
    fleet.store.epoch = 2;
    await fleet.advance(2_000);
    expect(replica?.status()).toMatchObject({epoch: 2, end: 10});
  });

  it('end the following of all topics, whichever answer told of them', () => {
    const timer = new ManualTimer();
    const epochs = new StoreEpoch(pino({level: 'silent'}), timer);
    const rises: number[] = [];
    epochs.subscribe(() => void rises.push(epochs.current));
    epochs.learn(0, LearnedFrom.Store);
    epochs.learn(1, LearnedFrom.Store);
    epochs.learn(3, LearnedFrom.Peer);
    epochs.learn(2, LearnedFrom.Store);
    expect([rises, epochs.current]).toEqual([[3], 3]);
  });

  it('tell for how long the store has served without a failed call', async () => {
    const timer = new ManualTimer();
    const epochs = new StoreEpoch(pino({level: 'silent'}), timer);
    const servedForMs = async (): Promise<number> => {
      await timer.advance(100);
      return epochs.servedForMs();
    };
    epochs.observe(ok({epoch: 1}));
    // A refusal may come from a store that is not back yet.
    epochs.observe(err({type: 'refused', status: 503, epoch: 2}));
    expect(await servedForMs()).toBe(0);
    epochs.observe(ok({epoch: 2}));
    epochs.observe(ok({epoch: 1}));
    expect([await servedForMs(), await servedForMs()]).toEqual([100, 200]);
    // It was sent before the store served.
    epochs.observe(err({type: 'timeout', limitMs: 1_000}));
    expect(await servedForMs()).toBe(300);
    epochs.observe(err({type: 'timeout', limitMs: 200}));
    expect(await servedForMs()).toBe(0);
    epochs.learn(3, LearnedFrom.Peer);
    expect(await servedForMs()).toBe(100);
  });
});

describe('the epoch that the platform names', () => {
  /** A store whose answers are the given statuses, epochs and bodies. */
  async function openFeed(
    answers: Array<[status: number, epoch: string | undefined, body: object]>,
  ): Promise<HttpFeed> {
    const server = createServer((_request, response) => {
      const [status, epoch, body] = answers.shift() ?? [500, undefined, {}];
      const headers = epoch === undefined ? {} : {'Store-Era': epoch};
      response.writeHead(status, headers).end(JSON.stringify(body));
    });
    await new Promise<void>(resolve =>
      server.listen(0, LOOPBACK, () => resolve()),
    );
    onTestFinished(() => void server.close());
    const {port} = server.address() as AddressInfo;
    return new HttpFeed(`${LOOPBACK}:${port}`, LOOPBACK, FEED_TIMEOUTS);
  }

  it('is read from each answer, to writes and of errors too', async () => {
    const feed = await openFeed([
      [200, '4', {}],
      [503, '5', {}],
      [503, undefined, {}],
      [410, '6', {first: 3}],
      [200, '6', {rubbish: true}],
      [200, 'x', {}],
    ]);
    const put = () => feed.put(Topic.Instances, 'a', Buffer.from('v'));
    const read = () => feed.read(Topic.Upstreams, 9, 0);
    expect([await put(), await put(), await put()]).toMatchObject([
      {value: {epoch: 4}},
      {error: {type: 'refused', status: 503, epoch: 5}},
      {error: {type: 'refused', status: 503}},
    ]);
    expect([
      await read(),
      await feed.snapshot(Topic.Upstreams),
      await read(),
    ]).toMatchObject([
      {value: {type: 'expired', first: 3, epoch: 6}},
      {error: {type: 'malformed', epoch: 6}},
      {error: {type: 'malformed'}},
    ]);
  });

  it('makes a snapshot fail if it rises between the pages', async () => {
    const item = {key: 'a', value: '', offset: 0};
    const feed = await openFeed([
      [200, '4', {items: [item], hasMore: true, end: 1}],
      [200, '5', {items: [item], hasMore: false, end: 1}],
      [200, '5', {items: [item], hasMore: false, end: 1}],
    ]);
    expect([
      await feed.snapshot(Topic.Upstreams),
      await feed.snapshot(Topic.Upstreams),
    ]).toMatchObject([
      {error: {type: 'interrupted', epoch: 5}},
      {value: {epoch: 5, end: 1}},
    ]);
  });
});
