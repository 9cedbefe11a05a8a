import {err, ok, type Result} from 'neverthrow';
import {pino} from 'pino';
import {expect, test} from 'vitest';
import {
  EntryState,
  Follower,
  Registry,
  Topic,
  type Entry,
  type Feed,
  type FeedFailure,
  type KeyedRecord,
  type Page,
  type Snapshot,
} from '../src/registry/index.js';
import {ManualTimer} from '../src/timer/index.js';

const logger = pino({level: 'silent'});

function entry(id: string, change: Partial<Entry> = {}): Entry {
  return {
    id,
    service: 's',
    host: 'h',
    port: 1,
    zone: 'z',
    slots: 4,
    state: EntryState.Ready,
    coldMs: 0,
    startedAt: 100,
    sequence: 1,
    ...change,
  };
}

function setUp(steadyMs = 10_000) {
  const timer = new ManualTimer();
  let steady = steadyMs;
  const registry = new Registry({
    decode: (_key, value) =>
      JSON.parse(value.toString()) as Entry | {reason: string},
    timer,
    logger,
    steadyMs: () => steady,
    changed: () => undefined,
  });
  let offset = 0;
  const record = (
    key: string,
    value?: Entry | {reason: string},
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
    setSteady: (ms: number) => {
      steady = ms;
    },
  };
}

test('an upstream that is removed while the store is steady is gone at once', () => {
  const {registry, record, usable} = setUp();
  registry.add([record('a', entry('a')), record('b', entry('b'))]);
  registry.add([record('a')]);
  expect(usable()).toEqual(['b ready']);
});

test('entries that lapse around an outage are kept for two seconds', async () => {
  const {timer, registry, record, usable} = setUp(500);
  registry.add([record('a', entry('a')), record('b', entry('b'))]);
  registry.replace([]);
  expect(usable()).toEqual(['a ready', 'b ready']);
  registry.add([record('a', entry('a', {sequence: 2}))]);
  await timer.advance(2_100);
  registry.sweep();
  expect(usable()).toEqual(['a ready']);
});

test('one that said it was leaving does not come back by a lapse', () => {
  const {registry, record, usable} = setUp(500);
  registry.add([record('a', entry('a', {state: EntryState.Draining}))]);
  registry.add([record('a')]);
  expect(usable()).toEqual([]);
});

test('old words and unreadable ones change nothing', () => {
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

test('a new start under the same id counts from the beginning', () => {
  const {registry, record, usable} = setUp();
  registry.add([
    record('a', entry('a', {state: EntryState.Draining, sequence: 50})),
    record('a', entry('a', {startedAt: 300, sequence: 1})),
  ]);
  expect(usable()).toEqual(['a ready']);
});

/** A feed that answers with what a test has prepared, then waits. */
class ScriptedFeed implements Feed {
  readonly calls: string[] = [];

  constructor(
    private readonly timer: ManualTimer,
    private readonly snapshots: Array<Snapshot | undefined>,
    private readonly pages: Array<Page | undefined>,
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
    return Promise.resolve(ok(undefined));
  }

  async read(
    _topic: Topic,
    from: number,
    waitMs: number,
  ): Promise<Result<Page, FeedFailure>> {
    this.calls.push(`read ${from}`);
    if (this.pages.length === 0) {
      await this.timer.sleep(waitMs);
      return ok({type: 'records', records: [], end: from});
    }
    const next = this.pages.shift();
    return next === undefined ? err({type: 'timeout', limitMs: 1}) : ok(next);
  }
}

const at = (offset: number) => ({key: `k${offset}`, offset});

async function follow(
  snapshots: Array<Snapshot | undefined>,
  pages: Array<Page | undefined>,
) {
  const timer = new ManualTimer();
  const feed = new ScriptedFeed(timer, snapshots, pages);
  const seen: string[] = [];
  const follower = new Follower(
    {
      feed,
      topic: Topic.Upstreams,
      timer,
      logger,
      random: () => 0.5,
      paceMs: 100,
      waitMs: 1_000,
    },
    {
      replaced: records => seen.push(`replaced by ${records.length}`),
      added: records =>
        seen.push(`added ${records.map(({key}) => key).join()}`),
    },
  );
  const following = follower.start();
  for (let step = 0; step < 80; step++) await timer.advance(50);
  following.end();
  return {seen, calls: feed.calls, follower};
}

test('history that was dropped is replaced by a snapshot', async () => {
  const {seen, calls} = await follow(
    [
      {records: [at(0)], end: 1},
      {records: [at(0), at(7)], end: 8},
    ],
    [
      {type: 'records', records: [at(1), at(2)], end: 3},
      {type: 'expired', first: 6},
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

test('a snapshot from before what is known is dropped', async () => {
  const {seen} = await follow(
    [
      {records: [at(0)], end: 5},
      {records: [], end: 3},
      {records: [at(8)], end: 9},
    ],
    [
      {type: 'expired', first: 7},
      {type: 'expired', first: 7},
    ],
  );
  expect(seen).toEqual(['replaced by 1', 'replaced by 1']);
});

test('an outage is ridden out with calls that grow apart', async () => {
  const {calls, follower} = await follow(
    [undefined, undefined, {records: [], end: 0}],
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
  expect(follower.steadyMs()).toBeGreaterThan(0);
});
