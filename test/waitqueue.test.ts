import {pino} from 'pino';
import {expect, test} from 'vitest';
import {Endpoint} from '../src/forward/endpoint.js';
import type {
  PlacementRequest,
  QueueResult,
} from '../src/forward/placementrequest.js';
import {WaitQueue} from '../src/forward/waitqueue.js';
import {SpeedEstimator} from '../src/forward/speedestimator.js';
import {EntryState} from '../src/registry/index.js';
import {ManualTimer} from '../src/timer/index.js';

let waitingTierElsewhere = Infinity;
let fleetSize = 1;
let announcements = 0;

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
      softwareVersion: 'v1',
      slots: 64,
      state: EntryState.Ready,
      coldMs: 0,
      sequence: 1,
    },
    '127.0.0.1',
  );
  endpoint.configure({slots: 64, kvCacheTokens: 1e6, tokensPerEvent: 4});
  const queue = new WaitQueue({
    timer,
    logger: pino({level: 'silent'}),
    random: () => 0.5,
    speeds: new SpeedEstimator(),
    endpoints: () => [endpoint],
    waitingTierElsewhere: () => waitingTierElsewhere,
    remoteLoadOf: () => NO_LOAD,
    fleetSize: () => fleetSize,
    announceLoad: () => {
      announcements++;
    },
    roundTripMs: () => 1,
  });
  const makeRequest = (
    requestId: string,
    tier: number,
    change: Partial<PlacementRequest> = {},
  ) => ({
    requestId,
    routeName: `kind-${tier}`,
    tier,
    targetMs: 2_000,
    prefillShare: 0.75,
    dueAt: timer.now() + 2_000,
    deadlineAt: timer.now() + 8_000,
    signal: new AbortController().signal,
    pauseSensitive: false,
    answerStarted: false,
    isHeld: () => false,
    isRationed: () => false,
    shortestPauseMs: 300,
    triedUpstreams: new Set<string>(),
    prompt: {
      model: 'm',
      parts: [{id: requestId, tokens: 12_000}],
      tokens: 12_000,
      outputTokens: 100,
    },
    ...change,
  });
  /** Adds a request of 12 000 uncached tokens to the load of the upstream. */
  const addLoad = (tier: number) =>
    endpoint.ownLoad.add(tier, 12_000, timer.now());
  /** Ends the prefill of such a request. */
  const finishPrefill = (tier: number) =>
    endpoint.ownLoad.finishPrefill(tier, 12_000);
  return {timer, queue, makeRequest, addLoad, finishPrefill};
}

test('surge: waiting requests are placed by tier, then by due time', async () => {
  const {timer, queue, makeRequest, finishPrefill} = setUp();
  const placed: string[] = [];
  const ask = (request: PlacementRequest) =>
    queue.acquire(request).then(result => {
      if (result.type !== 'placed') return;
      placed.push(request.requestId);
    });
  void ask(makeRequest('first', 1));
  await timer.advance(1);
  void ask(makeRequest('low-late', 2, {dueAt: 6_500}));
  void ask(makeRequest('low-early', 2, {dueAt: 6_000}));
  void ask(makeRequest('urgent', 1, {dueAt: 1_800}));
  await timer.advance(30);
  expect(placed).toEqual(['first']);
  for (const tier of [1, 1, 2, 2]) {
    finishPrefill(tier);
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

test('overload: a request that can not finish in time is refused at once', async () => {
  const {timer, queue, makeRequest} = setUp();
  const first = await queue.acquire(makeRequest('first', 2));
  expect(first.type).toBe('placed');
  const results: QueueResult[] = [];
  for (let index = 0; index < 20; index++) {
    void queue
      .acquire(makeRequest(`r${index}`, 2))
      .then(result => results.push(result));
  }
  await timer.advance(1);
  expect(results.length).toBeGreaterThan(0);
  for (const result of results) {
    expect(result).toMatchObject({type: 'notRun', cause: 'overloaded'});
    expect(result.type === 'notRun' && result.retryAfterMs).toBeGreaterThan(50);
  }
  expect(results.length + queue.length).toBe(20);
});

test('a request whose caller disconnects is not placed', async () => {
  const {timer, queue, makeRequest, finishPrefill} = setUp();
  await queue.acquire(makeRequest('first', 2));
  const caller = new AbortController();
  const waiting = queue.acquire(
    makeRequest('gone', 2, {signal: caller.signal}),
  );
  caller.abort();
  expect(await waiting).toEqual({type: 'gone'});
  finishPrefill(2);
  await timer.advance(2_000);
  expect(queue.length).toBe(0);
});

test('without an upstream a request waits and is refused at its deadline', async () => {
  const timer = new ManualTimer();
  const queue = new WaitQueue({
    timer,
    logger: pino({level: 'silent'}),
    random: () => 0,
    speeds: new SpeedEstimator(),
    endpoints: () => [],
    waitingTierElsewhere: () => waitingTierElsewhere,
    remoteLoadOf: () => NO_LOAD,
    fleetSize: () => fleetSize,
    announceLoad: () => {
      announcements++;
    },
    roundTripMs: () => 1,
  });
  const {makeRequest} = setUp();
  const waiting = queue.acquire(makeRequest('r', 0, {deadlineAt: 500}));
  await timer.advance(600);
  expect(await waiting).toMatchObject({type: 'notRun', cause: 'waited'});
});

test('a waiting large prompt does not block small ones of its tier', async () => {
  const {timer, queue, makeRequest} = setUp();
  await queue.acquire(makeRequest('first', 1));
  const large = {
    model: 'm',
    parts: [{id: 'large', tokens: 90_000}],
    tokens: 90_000,
    outputTokens: 10,
  };
  const small = {...large, parts: [{id: 'small', tokens: 300}], tokens: 300};
  void queue.acquire(makeRequest('large', 1, {prompt: large}));
  await timer.advance(1);
  expect(queue.length).toBe(1);
  const result = await queue.acquire(makeRequest('small', 1, {prompt: small}));
  expect(result.type).toBe('placed');
});

test('an instance without recent placements still gets its share of engine time', async () => {
  const {timer, queue, makeRequest, addLoad} = setUp();
  await queue.acquire(makeRequest('first', 2));
  for (let index = 0; index < 2; index++) addLoad(2);
  await timer.advance(5_000);
  void queue.acquire(makeRequest('ahead', 2));
  await timer.advance(1);
  let result: QueueResult | undefined;
  void queue.acquire(makeRequest('next', 2)).then(settled => {
    result = settled;
  });
  await timer.advance(100);
  // 400 ms of prefill ahead at a quarter of an engine's time is acceptable.
  expect(result).toBeUndefined();
});

test('a less urgent tier yields to a request that waits at another instance', async () => {
  const {timer, queue, makeRequest, finishPrefill} = setUp();
  await queue.acquire(makeRequest('first', 2));
  finishPrefill(2);
  waitingTierElsewhere = 1;
  let placed = false;
  void queue.acquire(makeRequest('low', 2)).then(() => {
    placed = true;
  });
  const urgent = await queue.acquire(
    makeRequest('urgent', 1, {prefillShare: 0.9}),
  );
  expect(urgent.type).toBe('placed');
  await timer.advance(100);
  expect(placed).toBe(false);
  waitingTierElsewhere = Infinity;
  // 0.4 s of prefill in the last second, and this request takes as much.
  await timer.advance(1_000);
  expect(placed).toBe(true);
});

test('surge of two tiers: others yield to a tier for a time after its rejection', async () => {
  waitingTierElsewhere = Infinity;
  const {timer, queue, makeRequest, finishPrefill} = setUp();
  await queue.acquire(makeRequest('first', 1));
  // It can't finish in time and is refused at once.
  const urgent = makeRequest('urgent', 1, {deadlineAt: timer.now() + 100});
  const result = await queue.acquire(urgent);
  expect(result).toMatchObject({type: 'notRun', cause: 'overloaded'});
  expect(queue.waitingTier()).toBe(1);
  finishPrefill(1);
  let placed = false;
  void queue.acquire(makeRequest('low', 2)).then(() => {
    placed = true;
  });
  await timer.advance(900);
  expect(placed).toBe(false);
  await timer.advance(200);
  expect(queue.waitingTier()).toBe(Infinity);
  await timer.advance(400);
  expect(placed).toBe(true);
});

test('freed capacity: requests placed in one pass see the load of each other', async () => {
  waitingTierElsewhere = Infinity;
  const {timer, queue, makeRequest, finishPrefill} = setUp();
  await queue.acquire(makeRequest('first', 2));
  const placed: string[] = [];
  for (const request of ['second', 'third', 'fourth']) {
    void queue.acquire(makeRequest(request, 2)).then(result => {
      if (result.type === 'placed') placed.push(request);
    });
  }
  await timer.advance(1);
  expect(placed).toEqual([]);
  finishPrefill(2);
  // The engine has no prefill left, and capacity for one more of 0.4 s.
  await timer.advance(1_100);
  expect(placed).toEqual(['second']);
});

test('freed capacity: a waiting large prompt backs off until load is announced', async () => {
  waitingTierElsewhere = Infinity;
  fleetSize = 9;
  announcements = 0;
  const {timer, queue, makeRequest, finishPrefill} = setUp();
  await queue.acquire(makeRequest('first', 2));
  // It is placed at once, and its load is announced at once.
  expect(announcements).toBe(1);
  let placed = false;
  void queue.acquire(makeRequest('second', 2)).then(() => {
    placed = true;
  });
  await timer.advance(1);
  finishPrefill(2);
  await timer.advance(1_000);
  expect(placed).toBe(false);
  // Half of the longest back-off for eight others, and one placement period.
  await timer.advance(80);
  expect(placed).toBe(true);
  expect(announcements).toBe(2);
  fleetSize = 1;
});

test('surge of two tiers: prefill of the less urgent tier delays no other', async () => {
  waitingTierElsewhere = Infinity;
  const {queue, makeRequest, addLoad} = setUp();
  for (let index = 0; index < 2; index++) addLoad(2);
  const urgent = await queue.acquire(
    makeRequest('urgent', 1, {prefillShare: 0.9}),
  );
  expect(urgent.type).toBe('placed');
});
