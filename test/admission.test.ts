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

const rig = new SchedulerHarness();
const never = () => false;

const entry = (
  className: string,
  change: Partial<QueueEntry> = {},
): QueueEntry => {
  const work = rig.work(className);
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

const drained = (queue: AdmissionQueue, now = 0): QueueEntry[] => {
  const order: QueueEntry[] = [];
  for (;;) {
    const next = queue.next(now, never);
    if (next === undefined) return order;
    queue.remove(next);
    order.push(next);
  }
};

describe('the order of the queue', () => {
  it('is by tier, then by the latest start that meets the target', () => {
    const queue = new AdmissionQueue();
    const entries = {
      batch: entry('spec-review', {latestStartAt: 10}),
      chat: entry('operator-chat', {latestStartAt: 900}),
      lookup: entry('lookup', {latestStartAt: 200}),
      advice: entry('recipe-advice', {latestStartAt: 800}),
    };
    for (const item of Object.values(entries)) queue.push(item, 0);
    expect(drained(queue).map(item => item.work.serviceClass.name)).toEqual([
      'recipe-advice',
      'lookup',
      'operator-chat',
      'spec-review',
    ]);
  });

  it('puts those that miss their target behind, until they are urgent', () => {
    const queue = new AdmissionQueue();
    const late = entry('recipe-advice', {
      latestStartAt: -1,
      priorityRestoredAt: 50,
    });
    const batch = entry('spec-review', {latestStartAt: 10_000});
    queue.push(late, 0);
    queue.push(batch, 0);
    expect(queue.next(0, never)).toBe(batch);
    expect(queue.next(60, never)).toBe(late);
    queue.remove(batch);
    expect(queue.next(0, never)).toBe(late);
  });

  it('gives up the least gain of the lowest waiting tier, always', () => {
    const classes = ['recipe-advice', 'operator-chat', 'spec-review'];
    const item = fc.record({
      name: fc.constantFrom(...classes),
      latest: fc.integer({min: -50, max: 500}),
    });
    fc.assert(
      fc.property(fc.array(item, {minLength: 1, maxLength: 40}), items => {
        const queue = new AdmissionQueue();
        for (const {name, latest} of items) {
          queue.push(entry(name, {latestStartAt: latest}), 0);
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

describe('fair sharing', () => {
  it('serves flows by weight, whatever they queue, and forgets idle ones', () => {
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
  it('give a starved class its share of the service, and no more', () => {
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
  it('divide a contract limit over the fleet and keep only active state', () => {
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

  it('learn lengths and correct them as tokens arrive', () => {
    const lengths = new LengthDistribution();
    for (let n = 0; n < 90; n++) lengths.add(10);
    for (let n = 0; n < 10; n++) lengths.add(1_000);
    expect(lengths.expectedRemaining(0)).toBeGreaterThan(90);
    expect(lengths.expectedRemaining(0)).toBeLessThan(130);
    expect(lengths.expectedRemaining(20)).toBeGreaterThan(850);
    const estimates = new LengthEstimator();
    const work = rig.work('operator-chat');
    for (let n = 0; n < 20; n++) estimates.observe(work, 40);
    expect(estimates.expectedRemaining(work)).toBeGreaterThan(30);
    expect(estimates.expectedRemaining(work)).toBeLessThan(55);
  });

  it('compute advice on when to come back from how fast work drains', () => {
    const throughput = new Throughput(0, () => 0);
    for (let n = 0; n < 100; n++) throughput.recordEnd(n * 50);
    expect(throughput.retryAfterMs(40, 5_000)).toBeGreaterThan(1_500);
    expect(throughput.retryAfterMs(40, 5_000)).toBeLessThan(3_000);
  });
});

describe('the scheduler', () => {
  const placed = async (
    pending: ReturnType<SchedulerHarness['acquire']>,
  ): Promise<Placement | undefined> => {
    const result = await Promise.race([pending, Promise.resolve(undefined)]);
    return result?.isOk() === true ? result.value : undefined;
  };

  const oneRunner = () =>
    new SchedulerHarness(configuration => {
      for (const pool of configuration.pools) {
        if (pool.kind === 'runner') pool.upstreams.splice(1);
      }
    });

  it('serves every class in lasting overload of the highest tier', async () => {
    const small = oneRunner();
    small.reportLoad(4);
    const waiting: Array<Promise<unknown>> = [];
    const running: Placement[] = [];
    const ends: string[] = [];
    const send = (name: string) => {
      const work = small.work(name, {deadlineAt: 3_600_000});
      const pending = small.acquire(work).then(result => {
        if (result.isErr()) return;
        running.push(result.value);
        ends.push(name);
      });
      waiting.push(pending);
    };
    for (let round = 0; round < 400; round++) {
      if (round % 20 === 0) send('spec-review');
      for (let n = 0; n < 3; n++) send('recipe-advice');
      await small.timer.advance(20);
      running.shift()?.release(AttemptEnd.Completed);
      await small.timer.advance(1);
    }
    const last = ends.slice(20);
    expect(last.filter(name => name === 'spec-review').length).toBeGreaterThan(
      0,
    );
    expect(
      last.filter(name => name === 'recipe-advice').length,
    ).toBeGreaterThan(last.length * 0.8);
  });

  it('sheds the lowest tier first, at once, as not run', async () => {
    const full = oneRunner();
    full.reportLoad(1);
    const held = await placed(full.acquire(full.work('recipe-advice')));
    expect(held?.upstream.name).toBe('runner-1');
    await placed(full.acquire(full.work('recipe-advice')));
    const outcomes = new Map<string, string[]>();
    const send = (name: string) =>
      full.acquire(full.work(name)).then(result => {
        if (result.isOk()) return;
        const {failure, outcome} = result.error;
        const list = outcomes.get(name) ?? [];
        list.push(`${outcome} ${failure.type}`);
        outcomes.set(name, list);
        expect(failure).toHaveProperty('retryAfterMs');
      });
    for (let n = 0; n < 600; n++) void send('spec-review');
    for (let n = 0; n < 500; n++) void send('recipe-advice');
    await full.timer.advance(1);
    expect(outcomes.get('recipe-advice')).toBeUndefined();
    const shed = outcomes.get('spec-review') ?? [];
    expect(shed.length).toBeGreaterThan(90);
    expect(new Set(shed)).toEqual(new Set(['not_run overloaded']));
  });

  it('ends a wait at the deadline as not run', async () => {
    const full = oneRunner();
    full.reportLoad(1);
    await placed(full.acquire(full.work('recipe-advice')));
    await placed(full.acquire(full.work('recipe-advice')));
    const pending = full.acquire(full.work('operator-chat', {deadlineAt: 300}));
    await full.timer.advance(301);
    const result = await pending;
    expect(result._unsafeUnwrapErr()).toEqual({
      outcome: 'not_run',
      failure: {type: 'deadlineExceeded'},
    });
  });
});
