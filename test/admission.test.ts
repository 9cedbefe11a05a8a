import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {FloorCredits} from '../src/admission/floorcredits.js';
import {AdmissionQueue} from '../src/admission/queue.js';
import {Throughput} from '../src/admission/throughput.js';
import type {QueueEntry} from '../src/admission/queueentry.js';
import {LengthDistribution, LengthEstimator} from '../src/estimation/index.js';
import {AttemptEnd, type Placement} from '../src/request/index.js';
import {LimitTracker, FairQueue} from '../src/workspace/index.js';
import {SchedulerHarness} from './support/schedulerharness.js';

const harness = new SchedulerHarness();
const neverBlocked = () => false;

const queueEntry = (
  className: string,
  change: Partial<QueueEntry> = {},
): QueueEntry => {
  const work = harness.work(className);
  return {
    work,
    history: {tried: new Set()},
    signal: new AbortController().signal,
    demandKey: 'model/tube-7b:',
    costTokens: 100,
    promptTokens: 3,
    blocks: [],
    queuedAt: 0,
    latestStartAt: 1_000,
    latestUsefulStartAt: 5_000,
    priorityRestoredAt: 3_000,
    late: false,
    settle: () => undefined,
    ...change,
  };
};

const startOrder = (queue: AdmissionQueue, now = 0): QueueEntry[] => {
  const order: QueueEntry[] = [];
  for (;;) {
    const next = queue.next(now, neverBlocked);
    if (next === undefined) return order;
    queue.remove(next);
    order.push(next);
  }
};

describe('admission queue', () => {
  it('orders by tier, then by latest start', () => {
    const queue = new AdmissionQueue();
    const entries = {
      batch: queueEntry('spec-review', {latestStartAt: 10}),
      chat: queueEntry('operator-chat', {latestStartAt: 900}),
      lookup: queueEntry('lookup', {latestStartAt: 200}),
      advice: queueEntry('recipe-advice', {latestStartAt: 800}),
    };
    for (const item of Object.values(entries)) queue.push(item, 0);
    expect(startOrder(queue).map(item => item.work.serviceClass.name)).toEqual([
      'recipe-advice',
      'lookup',
      'operator-chat',
      'spec-review',
    ]);
  });

  it('puts late requests last until their priority is restored', () => {
    const queue = new AdmissionQueue();
    const late = queueEntry('recipe-advice', {
      latestStartAt: -1,
      priorityRestoredAt: 50,
    });
    const batch = queueEntry('spec-review', {latestStartAt: 10_000});
    queue.push(late, 0);
    queue.push(batch, 0);
    expect(queue.next(0, neverBlocked)).toBe(batch);
    expect(queue.next(60, neverBlocked)).toBe(late);
    queue.remove(batch);
    expect(queue.next(0, neverBlocked)).toBe(late);
  });

  it('sheds from the lowest waiting tier, late requests first', () => {
    const classes = ['recipe-advice', 'operator-chat', 'spec-review'];
    const item = fc.record({
      name: fc.constantFrom(...classes),
      latest: fc.integer({min: -50, max: 500}),
    });
    fc.assert(
      fc.property(fc.array(item, {minLength: 1, maxLength: 40}), items => {
        const queue = new AdmissionQueue();
        for (const {name, latest} of items) {
          queue.push(queueEntry(name, {latestStartAt: latest}), 0);
        }
        const waiting = [...queue.items()];
        const victim = queue.shedCandidate();
        const tier = victim?.work.serviceClass.tier ?? -1;
        const lowest = Math.max(
          ...waiting.map(({work}) => work.serviceClass.tier),
        );
        const peers = waiting.filter(
          ({work}) => work.serviceClass.tier === tier,
        );
        expect(tier).toBe(lowest);
        expect(victim?.late).toBe(peers.some(({late}) => late));
      }),
      {seed: 5, numRuns: 200},
    );
  });
});

describe('fair queue', () => {
  it('serves flows by weight, whatever their backlog; drops idle ones', () => {
    const queue = new FairQueue<string>();
    for (let n = 0; n < 300; n++) queue.push('large', 1, 10, 'large');
    for (let n = 0; n < 30; n++) queue.push('small', 3, 10, 'small');
    const first = Array.from({length: 40}, () => queue.pop());
    expect(first.filter(name => name === 'small')).toHaveLength(30);
    while (queue.size > 0) queue.pop();
    for (let n = 0; n < 10_000; n++) {
      queue.push(`flow-${n}`, 1, 1, 'x');
      queue.pop();
    }
    expect(queue.flowCount).toBeLessThan(200);
  });

  it('skips removed items and finds the one due last', () => {
    const queue = new FairQueue<number>();
    const tickets = [1, 2, 3].map(n => queue.push('a', 1, 1, n));
    expect(queue.peekLast()).toBe(3);
    const last = tickets[2];
    if (last !== undefined) queue.remove('a', last);
    expect(queue.peekLast()).toBe(2);
    expect([queue.pop(), queue.pop(), queue.pop()]).toEqual([1, 2, undefined]);
  });
});

describe('floors', () => {
  it('guarantee a starved class its share of the service, and no more', () => {
    const floors = new FloorCredits();
    let served = 0;
    for (let n = 0; n < 1_000; n++) {
      if (floors.hasEarned('batch', 100)) {
        served++;
        floors.recordService('batch', 100, ['batch'], () => 0.05);
      }
      floors.recordService('top', 100, ['batch'], () => 0.05);
    }
    // One request in every 20 rounds, the first after 20 rounds.
    expect(served).toBe(49);
  });
});

describe('limits and estimates', () => {
  it('divide a limit over the fleet and drop the state of idle owners', () => {
    const limits = new LimitTracker();
    const allowed = {concurrent: 6, requestsPerSecond: 4};
    for (let n = 0; n < 3; n++) limits.recordStart('a', 0);
    expect(limits.mayStart('a', allowed, 2)).toBe(false);
    expect(limits.mayStart('a', allowed, 1)).toBe(true);
    const verdicts = [1, 2, 3].map(() =>
      limits.recordArrival('b', allowed, 2, 0),
    );
    expect(verdicts.map(({type}) => type)).toEqual([
      'within',
      'within',
      'exceeded',
    ]);
    for (let n = 0; n < 5_000; n++) {
      limits.recordArrival(`w${n}`, {}, 1, 20_000 + n * 20);
    }
    expect(limits.size).toBeLessThan(2_000);
  });

  it('learn answer lengths and correct them as tokens arrive', () => {
    const lengths = new LengthDistribution();
    for (let n = 0; n < 90; n++) lengths.add(10);
    for (let n = 0; n < 10; n++) lengths.add(1_000);
    expect(lengths.expectedRemaining(0)).toBeGreaterThan(90);
    expect(lengths.expectedRemaining(0)).toBeLessThan(130);
    expect(lengths.expectedRemaining(20)).toBeGreaterThan(850);
    const estimates = new LengthEstimator();
    const work = harness.work('operator-chat');
    for (let n = 0; n < 20; n++) estimates.observe(work, 40);
    expect(estimates.expectedRemaining(work)).toBeGreaterThan(30);
    expect(estimates.expectedRemaining(work)).toBeLessThan(55);
  });

  it('derive the retry delay from the rate at which attempts end', () => {
    const throughput = new Throughput(0, () => 0);
    for (let n = 0; n < 100; n++) throughput.recordEnd(n * 50);
    expect(throughput.retryAfterMs(40, 5_000)).toBeGreaterThan(1_500);
    expect(throughput.retryAfterMs(40, 5_000)).toBeLessThan(3_000);
  });
});

describe('admission scheduler', () => {
  const placementOf = async (
    pending: ReturnType<SchedulerHarness['acquire']>,
  ): Promise<Placement | undefined> => {
    const result = await Promise.race([pending, Promise.resolve(undefined)]);
    return result?.isOk() === true ? result.value : undefined;
  };

  const singleRunnerHarness = () =>
    new SchedulerHarness(configuration => {
      for (const pool of configuration.pools) {
        if (pool.kind === 'runner') pool.upstreams.splice(1);
      }
    });

  it('serves all classes in sustained overload of the top tier', async () => {
    const harness = singleRunnerHarness();
    harness.reportLoad(4);
    const waiting: Array<Promise<unknown>> = [];
    const running: Placement[] = [];
    const started: string[] = [];
    const send = (name: string) => {
      const work = harness.work(name, {deadlineAt: 3_600_000});
      const pending = harness.acquire(work).then(result => {
        if (result.isErr()) return;
        running.push(result.value);
        started.push(name);
      });
      waiting.push(pending);
    };
    for (let round = 0; round < 400; round++) {
      if (round % 20 === 0) send('spec-review');
      for (let n = 0; n < 3; n++) send('recipe-advice');
      await harness.timer.advance(20);
      running.shift()?.release(AttemptEnd.Completed);
      await harness.timer.advance(1);
    }
    const steadyState = started.slice(20);
    expect(
      steadyState.filter(name => name === 'spec-review').length,
    ).toBeGreaterThan(0);
    expect(
      steadyState.filter(name => name === 'recipe-advice').length,
    ).toBeGreaterThan(steadyState.length * 0.8);
  });

  it('sheds the lowest tier first, at once, with outcome not_run', async () => {
    const harness = singleRunnerHarness();
    harness.reportLoad(1);
    const running = await placementOf(
      harness.acquire(harness.work('recipe-advice')),
    );
    expect(running?.upstream.name).toBe('runner-1');
    await placementOf(harness.acquire(harness.work('recipe-advice')));
    const outcomes = new Map<string, string[]>();
    const send = (name: string) =>
      harness.acquire(harness.work(name)).then(result => {
        if (result.isOk()) return;
        const {failure, outcome} = result.error;
        const list = outcomes.get(name) ?? [];
        list.push(`${outcome} ${failure.type}`);
        outcomes.set(name, list);
        expect(failure).toHaveProperty('retryAfterMs');
      });
    for (let n = 0; n < 600; n++) void send('spec-review');
    for (let n = 0; n < 500; n++) void send('recipe-advice');
    await harness.timer.advance(1);
    expect(outcomes.get('recipe-advice')).toBeUndefined();
    const shed = outcomes.get('spec-review') ?? [];
    expect(shed.length).toBeGreaterThan(90);
    expect(new Set(shed)).toEqual(new Set(['not_run overloaded']));
  });

  it('ends a wait at the deadline with outcome not_run', async () => {
    const harness = singleRunnerHarness();
    harness.reportLoad(1);
    await placementOf(harness.acquire(harness.work('recipe-advice')));
    await placementOf(harness.acquire(harness.work('recipe-advice')));
    const pending = harness.acquire(
      harness.work('operator-chat', {deadlineAt: 300}),
    );
    await harness.timer.advance(301);
    const result = await pending;
    expect(result._unsafeUnwrapErr()).toEqual({
      outcome: 'not_run',
      failure: {type: 'deadlineExceeded'},
    });
  });
});
