import {pino} from 'pino';
import {expect, test} from 'vitest';
import {Endpoint} from '../src/forward/endpoint.js';
import {Line, type Place, type Want} from '../src/forward/line.js';
import {Speeds} from '../src/forward/speeds.js';
import {EntryState} from '../src/registry/index.js';
import {ManualTimer} from '../src/timer/index.js';

let elsewhere = Infinity;

const NO_LOAD = {inflight: 0, unread: new Map(), recentTokens: 0, ageMs: 0};

function setUp() {
  const timer = new ManualTimer();
  const endpoint = new Endpoint(
    {
      id: 'i-1',
      service: 's',
      host: '127.0.0.1',
      port: 1,
      zone: 'z',
      slots: 64,
      state: EntryState.Ready,
      coldMs: 0,
      sequence: 1,
    },
    '127.0.0.1',
  );
  endpoint.configure({slots: 64, memoryTokens: 1e6, tokensPerEvent: 4});
  const line = new Line({
    timer,
    logger: pino({level: 'silent'}),
    random: () => 0,
    speeds: new Speeds(),
    endpoints: () => [endpoint],
    waitingElsewhere: () => elsewhere,
    othersOn: () => NO_LOAD,
    fleetSize: () => 1,
    roundTripMs: () => 1,
  });
  const want = (request: string, tier: number, change: Partial<Want> = {}) => ({
    request,
    kind: `kind-${tier}`,
    tier,
    targetMs: 2_000,
    readingShare: 0.75,
    dueAt: timer.now() + 2_000,
    deadlineAt: timer.now() + 8_000,
    signal: new AbortController().signal,
    sensitive: false,
    begun: false,
    shortestPauseMs: 300,
    tried: new Set<string>(),
    prompt: {
      model: 'm',
      parts: [{id: request, tokens: 12_000}],
      tokens: 12_000,
      outputTokens: 100,
    },
    ...change,
  });
  /** Puts a placed request on the upstream's account, as a lane does. */
  const take = (tier: number) => endpoint.own.sent(tier, 12_000, timer.now());
  const read = (tier: number) => endpoint.own.read(tier, 12_000);
  return {timer, line, want, take, read};
}

test('surge: what waits is placed by tier, then by due time', async () => {
  const {timer, line, want, take, read} = setUp();
  const placed: string[] = [];
  const ask = (wanted: Want) =>
    line.acquire(wanted).then(place => {
      if (place.type !== 'placed') return;
      placed.push(wanted.request);
      take(wanted.tier);
    });
  void ask(want('first', 2));
  await timer.advance(1);
  void ask(want('low-late', 2, {dueAt: 6_500}));
  void ask(want('low-early', 2, {dueAt: 6_000}));
  void ask(want('urgent', 1, {dueAt: 1_800}));
  await timer.advance(30);
  expect(placed).toEqual(['first']);
  for (const tier of [2, 1, 2, 2]) {
    read(tier);
    await timer.advance(1_100);
  }
  expect(placed).toMatchInlineSnapshot(`
    [
      "first",
      "urgent",
      "low-early",
      "low-late",
    ]
  `);
});

test('overload: what can not be reached in time is refused at once', async () => {
  const {timer, line, want, take} = setUp();
  const first = await line.acquire(want('first', 2));
  expect(first.type).toBe('placed');
  take(2);
  const places: Place[] = [];
  for (let index = 0; index < 20; index++) {
    void line.acquire(want(`r${index}`, 2)).then(place => places.push(place));
  }
  await timer.advance(1);
  expect(places.length).toBeGreaterThan(0);
  for (const place of places) {
    expect(place).toMatchObject({type: 'notRun', cause: 'overloaded'});
    expect(place.type === 'notRun' && place.retryAfterMs).toBeGreaterThan(50);
  }
  expect(places.length + line.length).toBe(20);
});

test('a request whose caller leaves is not placed any more', async () => {
  const {timer, line, want, take, read} = setUp();
  await line.acquire(want('first', 2));
  take(2);
  const caller = new AbortController();
  const waiting = line.acquire(want('gone', 2, {signal: caller.signal}));
  caller.abort();
  expect(await waiting).toEqual({type: 'gone'});
  read(2);
  await timer.advance(2_000);
  expect(line.length).toBe(0);
});

test('without an upstream a request waits, and is refused at its end', async () => {
  const timer = new ManualTimer();
  const line = new Line({
    timer,
    logger: pino({level: 'silent'}),
    random: () => 0,
    speeds: new Speeds(),
    endpoints: () => [],
    waitingElsewhere: () => elsewhere,
    othersOn: () => NO_LOAD,
    fleetSize: () => 1,
    roundTripMs: () => 1,
  });
  const {want} = setUp();
  const waiting = line.acquire(want('r', 0, {deadlineAt: 500}));
  await timer.advance(600);
  expect(await waiting).toMatchObject({type: 'notRun', cause: 'waited'});
});

test('a large prompt that waits does not hold up small ones of its tier', async () => {
  const {timer, line, want, take} = setUp();
  await line.acquire(want('first', 2));
  take(2);
  const large = {
    model: 'm',
    parts: [{id: 'large', tokens: 90_000}],
    tokens: 90_000,
    outputTokens: 10,
  };
  const small = {...large, parts: [{id: 'small', tokens: 300}], tokens: 300};
  void line.acquire(want('large', 1, {prompt: large}));
  await timer.advance(1);
  expect(line.length).toBe(1);
  const place = await line.acquire(want('small', 1, {prompt: small}));
  expect(place.type).toBe('placed');
});

test('an instance that placed nothing lately still gets its part of the time', async () => {
  const {timer, line, want, take} = setUp();
  await line.acquire(want('first', 2));
  for (let index = 0; index < 3; index++) take(2);
  await timer.advance(5_000);
  void line.acquire(want('ahead', 2));
  await timer.advance(1);
  let place: Place | undefined;
  void line.acquire(want('next', 2)).then(given => {
    place = given;
  });
  await timer.advance(100);
  // 400 ms of reading ahead, at a quarter of an engine's time, is no reason to refuse.
  expect(place).toBeUndefined();
});

test('a less urgent tier yields to what waits at another instance', async () => {
  const {timer, line, want, take, read} = setUp();
  await line.acquire(want('first', 2));
  take(2);
  read(2);
  elsewhere = 1;
  let placed = false;
  void line.acquire(want('low', 2)).then(() => {
    placed = true;
  });
  const urgent = await line.acquire(want('urgent', 1, {readingShare: 0.9}));
  expect(urgent.type).toBe('placed');
  await timer.advance(100);
  expect(placed).toBe(false);
  elsewhere = Infinity;
  // 0.4 s of the last second were read, and this takes as much.
  await timer.advance(1_000);
  expect(placed).toBe(true);
});
