import {pino} from 'pino';
import {expect, test} from 'vitest';
import {Endpoint} from '../src/forward/endpoint.js';
import {
  WaitQueue,
  type PlacementResult,
  type PlacementRequest,
} from '../src/forward/waitqueue.js';
import {SpeedEstimator} from '../src/forward/speedestimator.js';
import {EntryState} from '../src/registry/index.js';
import {ManualTimer} from '../src/timer/index.js';

let elsewhere = Infinity;
let fleetSize = 1;
let told = 0;

const NO_LOAD = {
  inflight: 0,
  unread: new Map(),
  recent: new Map(),
  ageMs: 0,
};

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
  endpoint.configure({slots: 64, kvCacheTokens: 1e6, tokensPerEvent: 4});
  const line = new WaitQueue({
    timer,
    logger: pino({level: 'silent'}),
    random: () => 0.5,
    speedEstimator: new SpeedEstimator(),
    endpoints: () => [endpoint],
    waitingTierElsewhere: () => elsewhere,
    remoteLoadOf: () => NO_LOAD,
    fleetSize: () => fleetSize,
    announceLoad: () => {
      told++;
    },
    roundTripMs: () => 1,
  });
  const want = (
    request: string,
    tier: number,
    change: Partial<PlacementRequest> = {},
  ) => ({
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
  /** Puts one more request on the upstream's account. */
  const load = (tier: number) =>
    endpoint.ownLoad.add(tier, 12_000, timer.now());
  const read = (tier: number) => endpoint.ownLoad.finishPrefill(tier, 12_000);
  return {timer, line, want, load, read};
}

test('surge: what waits is placed by tier, then by due time', async () => {
  const {timer, line, want, read} = setUp();
  const placed: string[] = [];
  const ask = (wanted: PlacementRequest) =>
    line.acquire(wanted).then(place => {
      if (place.type !== 'placed') return;
      placed.push(wanted.requestId);
    });
  void ask(want('first', 1));
  await timer.advance(1);
  void ask(want('low-late', 2, {dueAt: 6_500}));
  void ask(want('low-early', 2, {dueAt: 6_000}));
  void ask(want('urgent', 1, {dueAt: 1_800}));
  await timer.advance(30);
  expect(placed).toEqual(['first']);
  for (const tier of [1, 1, 2, 2]) {
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
  const {timer, line, want} = setUp();
  const first = await line.acquire(want('first', 2));
  expect(first.type).toBe('placed');
  const places: PlacementResult[] = [];
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
  const {timer, line, want, read} = setUp();
  await line.acquire(want('first', 2));
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
  const line = new WaitQueue({
    timer,
    logger: pino({level: 'silent'}),
    random: () => 0,
    speedEstimator: new SpeedEstimator(),
    endpoints: () => [],
    waitingTierElsewhere: () => elsewhere,
    remoteLoadOf: () => NO_LOAD,
    fleetSize: () => fleetSize,
    announceLoad: () => {
      told++;
    },
    roundTripMs: () => 1,
  });
  const {want} = setUp();
  const waiting = line.acquire(want('r', 0, {deadlineAt: 500}));
  await timer.advance(600);
  expect(await waiting).toMatchObject({type: 'notRun', cause: 'waited'});
});

test('a large prompt that waits does not hold up small ones of its tier', async () => {
  const {timer, line, want} = setUp();
  await line.acquire(want('first', 1));
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
  const {timer, line, want, load} = setUp();
  await line.acquire(want('first', 2));
  for (let index = 0; index < 2; index++) load(2);
  await timer.advance(5_000);
  void line.acquire(want('ahead', 2));
  await timer.advance(1);
  let place: PlacementResult | undefined;
  void line.acquire(want('next', 2)).then(given => {
    place = given;
  });
  await timer.advance(100);
  // 400 ms of reading ahead, at a quarter of an engine's time, is no reason to refuse.
  expect(place).toBeUndefined();
});

test('a less urgent tier yields to what waits at another instance', async () => {
  const {timer, line, want, read} = setUp();
  await line.acquire(want('first', 2));
  read(2);
  elsewhere = 1;
  let placed = false;
  void line.acquire(want('low', 2)).then(() => {
    placed = true;
  });
  const urgent = await line.acquire(want('urgent', 1, {prefillShare: 0.9}));
  expect(urgent.type).toBe('placed');
  await timer.advance(100);
  expect(placed).toBe(false);
  elsewhere = Infinity;
  // 0.4 s of the last second were read, and this takes as much.
  await timer.advance(1_000);
  expect(placed).toBe(true);
});

test('surge of two tiers: a tier that was turned away is yielded to for a while', async () => {
  elsewhere = Infinity;
  const {timer, line, want, read} = setUp();
  await line.acquire(want('first', 1));
  // It can't end in time and is refused at once.
  const urgent = want('urgent', 1, {deadlineAt: timer.now() + 100});
  const place = await line.acquire(urgent);
  expect(place).toMatchObject({type: 'notRun', cause: 'overloaded'});
  expect(line.waitingTier()).toBe(1);
  read(1);
  let placed = false;
  void line.acquire(want('low', 2)).then(() => {
    placed = true;
  });
  await timer.advance(900);
  expect(placed).toBe(false);
  await timer.advance(200);
  expect(line.waitingTier()).toBe(Infinity);
  await timer.advance(400);
  expect(placed).toBe(true);
});

test('release of room: requests placed at one look see each other', async () => {
  elsewhere = Infinity;
  const {timer, line, want, read} = setUp();
  await line.acquire(want('first', 2));
  const placed: string[] = [];
  for (const request of ['second', 'third', 'fourth']) {
    void line.acquire(want(request, 2)).then(place => {
      if (place.type === 'placed') placed.push(request);
    });
  }
  await timer.advance(1);
  expect(placed).toEqual([]);
  read(2);
  // The engine has read all it was given, and has time for one more of 0.4 s.
  await timer.advance(1_100);
  expect(placed).toEqual(['second']);
});

test('release of room: a large prompt that waits lets the news come first', async () => {
  elsewhere = Infinity;
  fleetSize = 9;
  told = 0;
  const {timer, line, want, read} = setUp();
  await line.acquire(want('first', 2));
  // It finds room at once, and the others hear of it at once.
  expect(told).toBe(1);
  let placed = false;
  void line.acquire(want('second', 2)).then(() => {
    placed = true;
  });
  await timer.advance(1);
  read(2);
  await timer.advance(1_000);
  expect(placed).toBe(false);
  // Half of the longest pause for eight others, and a look.
  await timer.advance(80);
  expect(placed).toBe(true);
  expect(told).toBe(2);
  fleetSize = 1;
});

test('surge of two tiers: reading of the less urgent holds up no other', async () => {
  elsewhere = Infinity;
  const {line, want, load} = setUp();
  for (let index = 0; index < 2; index++) load(2);
  const urgent = await line.acquire(want('urgent', 1, {prefillShare: 0.9}));
  expect(urgent.type).toBe('placed');
});
