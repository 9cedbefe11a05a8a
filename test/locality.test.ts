import {describe, expect, it} from 'vitest';
import type {Placement} from '../src/request/index.js';
import {CachedBlocks} from '../src/upstream/index.js';
import {SchedulerHarness} from './support/schedulerharness.js';

const longPrefix = (name: string) => `${name} `.repeat(900);

const place = async (
  rig: SchedulerHarness,
  prompt: string,
): Promise<Placement> => {
  const work = rig.work('operator-chat', {
    demand: {type: 'generation', model: 'tube-7b', prompt, stream: true},
  });
  return (await rig.acquire(work))._unsafeUnwrap();
};

describe('prefix-aware placement', () => {
  it('sends a prompt to the upstream that has its prefix cached', async () => {
    const rig = new SchedulerHarness();
    rig.reportLoad(32);
    const upstreamByPrefix = new Map<string, string>();
    for (const name of ['reels', 'glues', 'plies']) {
      const placement = await place(rig, `${longPrefix(name)} first`);
      placement.firstToken();
      upstreamByPrefix.set(name, placement.upstream.name);
    }
    for (const [name, expected] of upstreamByPrefix) {
      const again = await place(rig, `${longPrefix(name)} again`);
      expect(again.upstream.name).toBe(expected);
    }
  });

  it('is the same in instances that do not communicate', async () => {
    const topics = ['reels', 'glues', 'plies', 'cores', 'cards', 'tubes'];
    const placeAll = async (rig: SchedulerHarness) => {
      const upstreamNames: string[] = [];
      for (const name of topics) {
        const placement = await place(rig, `${longPrefix(name)} question`);
        upstreamNames.push(placement.upstream.name);
      }
      return upstreamNames;
    };
    const first = await placeAll(new SchedulerHarness());
    const second = await placeAll(new SchedulerHarness());
    expect(second).toEqual(first);
    expect(new Set(first).size).toBeGreaterThan(1);
  });

  it('spreads a frequently used prefix over several upstreams', async () => {
    const rig = new SchedulerHarness();
    rig.reportLoad(8);
    const names = new Set<string>();
    for (let n = 0; n < 24; n++) {
      const placement = await place(rig, `${longPrefix('hot')} question ${n}`);
      placement.firstToken();
      names.add(placement.upstream.name);
    }
    expect(names.size).toBeGreaterThan(2);
    const counts = rig.runners().map(({inflight}) => inflight);
    expect(Math.max(...counts)).toBeLessThanOrEqual(9);
  });
});

describe('a batch of requests with a common prefix', () => {
  it('prefills the prefix once and then runs concurrently', async () => {
    const rig = new SchedulerHarness();
    rig.reportLoad(8);
    const placements: Placement[] = [];
    const send = (n: number) => {
      const prompt = `${longPrefix('spec')} question ${n}`;
      const demand = {
        type: 'generation' as const,
        model: 'spec-13b',
        prompt,
        stream: false,
      };
      void rig.acquire(rig.work('spec-review', {demand})).then(result => {
        if (result.isOk()) placements.push(result.value);
      });
    };
    for (let n = 0; n < 5; n++) send(n);
    await rig.timer.advance(1);
    expect(placements).toHaveLength(1);
    await rig.timer.advance(1_000);
    rig.scheduler.dispatch();
    await rig.timer.advance(1);
    expect(placements).toHaveLength(5);
    const names = new Set(placements.map(({upstream}) => upstream.name));
    expect(names.size).toBe(1);
  });
});

describe('cached blocks', () => {
  const blocks = ['a', 'b', 'c', 'd'];

  it('match the longest leading run', () => {
    const cache = new CachedBlocks();
    cache.store(blocks);
    cache.evict(['d']);
    expect(cache.match(blocks)).toEqual({blocks: 3, confidence: 1});
    expect(cache.match(['x', 'b'])).toEqual({blocks: 0, confidence: 0});
  });

  it('become uncertain after a gap and certain again when stored', () => {
    const cache = new CachedBlocks();
    cache.store(blocks);
    cache.markUncertain();
    expect(cache.match(blocks)).toEqual({blocks: 4, confidence: 0.5});
    cache.store(blocks);
    expect(cache.match(blocks)).toEqual({blocks: 4, confidence: 1});
  });

  it('are bounded; the least recently used are dropped', () => {
    const cache = new CachedBlocks();
    cache.store(blocks);
    for (let n = 0; n < 10_000; n++) cache.store([`block-${n}`]);
    expect(cache.size).toBeLessThanOrEqual(4_096);
    expect(cache.match(blocks).blocks).toBe(0);
  });
});
