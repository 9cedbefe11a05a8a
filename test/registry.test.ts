import {err, ok, type Result} from 'neverthrow';
import {pino} from 'pino';
import {expect, test} from 'vitest';
import {
  EntryState,
  Follower,
  Registry,
  StoreEpoch,
  Topic,
  type RegistryEntry,
  type Feed,
  type FeedFailure,
  type KeyedRecord,
  type FeedPage,
  type Snapshot,
} from '../src/registry/index.js';
import {ChangeLog} from '../src/registry/changelog.js';
import {ManualTimer} from '../src/timer/index.js';

const logger = pino({level: 'silent'});

function entry(
  id: string,
  overrides: Partial<RegistryEntry> = {},
): RegistryEntry {
  return {
    id,
    service: 's',
    host: 'h',
    port: 1,
    zone: 'z',
    softwareVersion: 'v1',
    slots: 4,
    state: EntryState.Ready,
    coldMs: 0,
    startedAt: 100,
    sequence: 1,
    ...overrides,
  };
}

function setUp(initialReachableForMs = 10_000) {
  const timer = new ManualTimer();
  let reachableForMs = initialReachableForMs;
  let servedForMs = 0;
  const registry = new Registry({
    decode: (_key, value) =>
      JSON.parse(value.toString()) as RegistryEntry | {reason: string},
    timer,
    logger,
    reachableForMs: () => reachableForMs,
    servedForMs: () => servedForMs,
    changed: () => undefined,
  });
  let offset = 0;
  const record = (
    key: string,
    value?: RegistryEntry | {reason: string},
  ): KeyedRecord => ({
    key,
    offset: offset++,
    ...(value === undefined ? {} : {value: Buffer.from(JSON.stringify(value))}),
  });
  const usable = () =>
    [...registry.usable()].map(({id, state}) => `${id} ${state}`).sort();
  return {
    timer,
    registry,
    record,
    usable,
    setReachableForMs: (ms: number) => {
      reachableForMs = ms;
    },
    setServedForMs: (ms: number) => {
      servedForMs = ms;
    },
  };
}

test('an upstream removed while the store is reachable is dropped at once', () => {
  const {registry, record, usable} = setUp();
  registry.add([record('a', entry('a')), record('b', entry('b'))]);
  registry.add([record('a')]);
  expect(usable()).toEqual(['b ready']);
});

test('entries that go missing after an outage are kept for two seconds', async () => {
  const {timer, registry, record, usable} = setUp(500);
  registry.add([record('a', entry('a')), record('b', entry('b'))]);
  registry.replace([]);
  expect(usable()).toEqual(['a ready', 'b ready']);
  registry.add([record('a', entry('a', {sequence: 2}))]);
  await timer.advance(2_100);
  registry.sweep();
  expect(usable()).toEqual(['a ready']);
});

test('entries that go missing later are kept until three seconds after the return', async () => {
  const {timer, registry, record, usable, setReachableForMs} = setUp(2_300);
  registry.add([record('a', entry('a')), record('b', entry('b'))]);
  registry.add([record('a')]);
  expect(usable()).toEqual(['a ready', 'b ready']);
  await timer.advance(750);
  registry.sweep();
  expect(usable()).toEqual(['b ready']);
  setReachableForMs(3_050);
  registry.add([record('b')]);
  expect(usable()).toEqual([]);
});

test('entries are kept until 2.5 s after the return that a late snapshot tells of', async () => {
  const {timer, registry, record, usable, ...store} = setUp();
  registry.add([record('a', entry('a')), record('b', entry('b'))]);
  store.setReachableForMs(0);
  store.setServedForMs(700);
  registry.replace([], true);
  store.setReachableForMs(1_790);
  await timer.advance(1_790);
  registry.add([record('b', entry('b', {sequence: 2}))]);
  registry.sweep();
  expect(usable()).toEqual(['a ready', 'b ready']);
  store.setReachableForMs(1_800);
  await timer.advance(10);
  registry.sweep();
  expect(usable()).toEqual(['b ready']);
});

test('that the store has a missing upstream by an older entry is a change', () => {
  const {registry, record} = setUp(0);
  registry.add([record('a', entry('a', {sequence: 5}))]);
  registry.replace([], true);
  const again = record('a', entry('a', {sequence: 5}));
  expect(registry.add([again])).toEqual([again]);
  expect(registry.add([again])).toEqual([]);
});

test('a draining upstream that goes missing is dropped without grace', () => {
  const {registry, record, usable} = setUp(500);
  registry.add([record('a', entry('a', {state: EntryState.Draining}))]);
  registry.add([record('a')]);
  expect(usable()).toEqual([]);
});

test('outdated and invalid entries are ignored', () => {
  const {registry, record, usable} = setUp();
  registry.add([
    record('a', entry('a', {state: EntryState.Draining, sequence: 5})),
    record('a', entry('a', {sequence: 4})),
    record('a', {reason: 'torn'}),
    record('b', entry('b', {startedAt: 200})),
    record('b', entry('b', {startedAt: 100, sequence: 9, slots: 1})),
  ]);
  expect(usable()).toEqual(['a draining', 'b ready']);
  expect([...registry.usable()].find(({id}) => id === 'b')?.slots).toBe(4);
});

test('an entry of a restarted process replaces one with a higher sequence', () => {
  const {registry, record, usable} = setUp();
  registry.add([
    record('a', entry('a', {state: EntryState.Draining, sequence: 50})),
    record('a', entry('a', {startedAt: 300, sequence: 1})),
  ]);
  expect(usable()).toEqual(['a ready']);
});

test('changes that came early are passed on with the records that hold them', () => {
  const {record} = setUp();
  const changes = new ChangeLog();
  changes.restart(10);
  const early = {...record('a', entry('a')), offset: 13};
  changes.addEarly([early]);
  expect([changes.end, changes.from(10)]).toEqual([10, []]);
  changes.append([], 20);
  expect([changes.changedTo, changes.from(10)]).toEqual([
    11,
    [{...early, offset: 10}],
  ]);
  changes.append([], 30);
  expect(changes.from(10)).toHaveLength(1);
});

/**
 * A feed that returns the given results in order, where undefined stands for a
 * failed call. Further reads wait and find no records.
 */
class ScriptedFeed implements Feed {
  readonly calls: string[] = [];

  constructor(
    private readonly timer: ManualTimer,
    private readonly snapshots: Array<Snapshot | undefined>,
    private readonly pages: Array<FeedPage | undefined>,
  ) {}

  snapshot() {
    this.calls.push('snapshot');
    const next = this.snapshots.shift();
    return Promise.resolve(
      next === undefined
        ? err({type: 'unreachable', cause: 'down'} as const)
        : ok(next),
    );
  }

  put() {
    return Promise.resolve(ok({epoch: 0}));
  }

  async read(
    _topic: Topic,
    from: number,
    waitMs: number,
  ): Promise<Result<FeedPage, FeedFailure>> {
    this.calls.push(`read ${from}`);
    if (this.pages.length === 0) {
      await this.timer.sleep(waitMs);
      return ok({type: 'records', records: [], end: from, epoch: 0});
    }
    const next = this.pages.shift();
    return next === undefined ? err({type: 'timeout', limitMs: 1}) : ok(next);
  }
}

const recordAt = (offset: number) => ({key: `k${offset}`, offset});

async function runFollower(
  snapshots: Array<Snapshot | undefined>,
  pages: Array<FeedPage | undefined>,
) {
  const timer = new ManualTimer();
  const feed = new ScriptedFeed(timer, snapshots, pages);
  const seen: string[] = [];
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
      readPauseMs: 100,
      waitMs: 1_000,
    },
    {
      replaced: records => {
        seen.push(`replaced by ${records.length}`);
        return records;
      },
      added: records => {
        seen.push(`added ${records.map(({key}) => key).join()}`);
        return records;
      },
      known: () => [],
    },
  );
  const subscription = follower.start();
  for (let step = 0; step < 80; step++) await timer.advance(50);
  subscription.end();
  return {seen, calls: feed.calls, follower, timer};
}

test('records that expired before they were read lead to a snapshot', async () => {
  const {seen, calls} = await runFollower(
    [
      {records: [recordAt(0)], end: 1, epoch: 0},
      {records: [recordAt(0), recordAt(7)], end: 8, epoch: 0},
    ],
    [
      {type: 'records', records: [recordAt(1), recordAt(2)], end: 3, epoch: 0},
      {type: 'expired', first: 6, epoch: 0},
    ],
  );
  expect({seen, calls: calls.slice(0, 6)}).toMatchInlineSnapshot(`
    {
      "calls": [
        "snapshot",
        "read 1",
        "read 3",
        "snapshot",
        "read 8",
        "read 8",
      ],
      "seen": [
        "replaced by 1",
        "added k1,k2",
        "replaced by 2",
      ],
    }
  `);
});

test('a snapshot older than the records already read is discarded', async () => {
  const {seen} = await runFollower(
    [
      {records: [recordAt(0)], end: 5, epoch: 0},
      {records: [], end: 3, epoch: 0},
      {records: [recordAt(8)], end: 9, epoch: 0},
    ],
    [
      {type: 'expired', first: 7, epoch: 0},
      {type: 'expired', first: 7, epoch: 0},
    ],
  );
  expect(seen).toEqual(['replaced by 1', 'replaced by 1']);
});

test('failed calls are retried until the store responds again', async () => {
  const {calls, follower} = await runFollower(
    [undefined, undefined, {records: [], end: 0, epoch: 0}],
    [undefined, undefined, undefined],
  );
  expect(calls.slice(0, 7)).toMatchInlineSnapshot(`
    [
      "snapshot",
      "snapshot",
      "snapshot",
      "read 0",
      "read 0",
      "read 0",
      "read 0",
    ]
  `);
  expect(follower.reachableForMs()).toBeGreaterThan(0);
});

test('a part of the records does not make a topic current', async () => {
  const timer = new ManualTimer();
  const waiting = new Promise<never>(() => undefined);
  const feed = new ScriptedFeed(
    timer,
    [{records: [], end: 0, epoch: 0}],
    [{type: 'records', records: [recordAt(0), recordAt(1)], end: 9, epoch: 0}],
  );
  const read = feed.read.bind(feed);
  // The rest is not answered.
  feed.read = (...args) => (args[1] === 2 ? waiting : read(...args));
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
      readPauseMs: 100,
      waitMs: 0,
    },
    {replaced: () => [], added: records => records, known: () => []},
  );
  follower.start();
  await timer.advance(1);
  await timer.advance(500);
  expect(follower.replica.status()).toMatchObject({
    end: 2,
    changedTo: 2,
    ageMs: 500,
  });
});

test('a snapshot older than what peers told meanwhile is discarded', async () => {
  const timer = new ManualTimer();
  let answer = (_: Snapshot) => {};
  const feed = new ScriptedFeed(
    timer,
    [{records: [], end: 4, epoch: 0}],
    [{type: 'expired', first: 8, epoch: 0}],
  );
  const first = feed.snapshot.bind(feed);
  let snapshots = 0;
  feed.snapshot = () =>
    snapshots++ === 0
      ? first()
      : new Promise(resolve => {
          answer = snapshot => resolve(ok(snapshot));
        });
  const seen: string[] = [];
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
      readPauseMs: 100,
      waitMs: 0,
    },
    {
      replaced: records => {
        seen.push(`replaced by ${records.length}`);
        return records;
      },
      added: records => {
        seen.push(`added ${records.map(({key}) => key).join()}`);
        return records;
      },
      known: () => [],
    },
  );
  follower.start();
  await timer.advance(1);
  await timer.advance(200);
  const status = {
    topic: Topic.Upstreams,
    epoch: 0,
    reader: 'entry-2',
    ageMs: 0,
  };
  const changes = {from: 4, records: [recordAt(11)]};
  follower.replica.receive(
    {...status, end: 12, since: 0, changedTo: 12},
    changes,
  );
  answer({records: [recordAt(8)], end: 9, epoch: 0});
  await timer.advance(1);
  expect([seen, follower.replica.end]).toEqual([
    ['replaced by 0', 'added k11'],
    12,
  ]);
});

// Its answer may be older than a stall, so that a version that joined is missing.
test('a read that was under way before a suspension is none since', async () => {
  const timer = new ManualTimer();
  const pages: Array<(end: number) => void> = [];
  const feed: Feed = {
    snapshot: () => Promise.resolve(ok({records: [], end: 0, epoch: 0})),
    put: () => Promise.resolve(ok({epoch: 0})),
    read: () =>
      new Promise(resolve =>
        pages.push(end =>
          resolve(ok({type: 'records', records: [], end, epoch: 0})),
        ),
      ),
  };
  const follower = new Follower(
    {
      instance: 'entry-1',
      feed,
      epochs: new StoreEpoch(logger, timer),
      topic: Topic.Upstreams,
      timer,
      logger,
      random: () => 0.5,
      rankOf: () => 0,
      learned: () => undefined,
      readPauseMs: 100,
      waitMs: 0,
    },
    {replaced: () => [], added: () => [], known: () => []},
  );
  follower.start();
  await timer.advance(1);
  await timer.advance(200);
  follower.wake();
  const at = timer.now();
  const seen = [follower.isReadSince(at)];
  for (const answer of pages.splice(0)) answer(0);
  await timer.advance(1);
  seen.push(follower.isReadSince(at));
  await timer.advance(200);
  for (const answer of pages.splice(0)) answer(0);
  await timer.advance(1);
  seen.push(follower.isReadSince(at));
  expect(seen).toEqual([false, false, true]);
});

test('a suspension or a step of the clock is no outage of the store', async () => {
  const {follower, timer} = await runFollower(
    [{records: [], end: 0, epoch: 0}],
    [],
  );
  const before = follower.reachableForMs();
  follower.wake();
  expect([before > 3_000, follower.replica.status()]).toEqual([
    true,
    undefined,
  ]);
  // What peers sent meanwhile may be old; later messages are not.
  const status = {
    topic: Topic.Upstreams,
    epoch: 0,
    reader: 'b',
    since: 0,
    changedTo: 0,
  };
  expect(follower.replica.receive({...status, end: 0, ageMs: 0})).toBe(
    'ignored',
  );
  await timer.advance(600);
  expect(follower.replica.receive({...status, end: 0, ageMs: 0})).toBe(
    'applied',
  );
  expect(follower.reachableForMs()).toBe(before + 600);
});

test('a read that several peers tell of is news once', async () => {
  const {follower, timer} = await runFollower(
    [{records: [], end: 0, epoch: 0}],
    [],
  );
  await timer.advance(600);
  const told = (end: number, ageMs: number) =>
    follower.replica.receive({
      topic: Topic.Upstreams,
      epoch: 0,
      reader: 'b',
      since: 0,
      changedTo: 0,
      end,
      ageMs,
    });
  // The time on the way isn't part of the age that a peer states.
  expect([told(0, 40), told(0, 10)]).toEqual(['applied', 'ignored']);
  expect([told(1, 10), told(1, 0)]).toEqual(['applied', 'ignored']);
  await timer.advance(100);
  expect(told(1, 0)).toBe('applied');
});
