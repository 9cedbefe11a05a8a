import {describe, expect, it} from 'vitest';
import type {Placement} from '../src/request/index.js';
import {CachedBlocks} from '../src/upstream/index.js';
import {SchedulerHarness} from './support/schedulerharness.js';

const catalogue = (name: string) => `${name} `.repeat(900);

const place = async (
  rig: SchedulerHarness,
  prompt: string,
): Promise<Placement> => {
  const work = rig.work('operator-chat', {
    demand: {type: 'generation', model: 'tube-7b', prompt, stream: true},
  });
  return (await rig.acquire(work))._unsafeUnwrap();
};

describe('prefix locality', () => {
  it('sends a prompt where its prefix was computed', async () => {
    const rig = new SchedulerHarness();
    rig.reportLoad(32);
    const homes = new Map<string, string>();
    for (const name of ['reels', 'glues', 'plies']) {
      const placement = await place(rig, `${catalogue(name)} first`);
      placement.firstToken();
      homes.set(name, placement.upstream.name);
    }
    for (const [name, home] of homes) {
      const again = await place(rig, `${catalogue(name)} again`);
      expect(again.upstream.name).toBe(home);
    }
  });

  it('agrees between instances that never talked', async () => {
    const names = ['reels', 'glues', 'plies', 'cores', 'cards', 'tubes'];
    const homes = async (rig: SchedulerHarness) => {
      const found: string[] = [];
      for (const name of names) {
        const placement = await place(rig, `${catalogue(name)} question`);
        found.push(placement.upstream.name);
      }
      return found;
    };
    const first = await homes(new SchedulerHarness());
    const second = await homes(new SchedulerHarness());
    expect(second).toEqual(first);
    expect(new Set(first).size).toBeGreaterThan(1);
  });

  it('spreads one hot prefix over several upstreams', async () => {
    const rig = new SchedulerHarness();
    rig.reportLoad(8);
    const names = new Set<string>();
    for (let n = 0; n < 24; n++) {
      const placement = await place(rig, `${catalogue('hot')} question ${n}`);
      placement.firstToken();
      names.add(placement.upstream.name);
    }
    expect(names.size).toBeGreaterThan(2);
    const counts = rig.runners().map(({inflight}) => inflight);
    expect(Math.max(...counts)).toBeLessThanOrEqual(9);
  });
});

describe('a job of requests with one prefix', () => {
  it('computes the prefix once, and then runs together', async () => {
    const rig = new SchedulerHarness();
    rig.reportLoad(8);
    const placements: Placement[] = [];
    const send = (n: number) => {
      const prompt = `${catalogue('spec')} question ${n}`;
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

describe('the blocks expected in a cache', () => {
  const blocks = ['a', 'b', 'c', 'd'];

  it('match the longest leading run', () => {
    const cache = new CachedBlocks();
    cache.store(blocks);
    cache.evict(['d']);
    expect(cache.match(blocks)).toEqual({blocks: 3, confidence: 1});
    expect(cache.match(['x', 'b'])).toEqual({blocks: 0, confidence: 0});
  });

  it('become doubtful after a gap, and sure again when seen', () => {
    const cache = new CachedBlocks();
    cache.store(blocks);
    cache.markUncertain();
    expect(cache.match(blocks)).toEqual({blocks: 4, confidence: 0.5});
    cache.store(blocks);
    expect(cache.match(blocks)).toEqual({blocks: 4, confidence: 1});
  });

  it('are bounded, dropping the least recently used', () => {
    const cache = new CachedBlocks();
    cache.store(blocks);
    for (let n = 0; n < 10_000; n++) cache.store([`block-${n}`]);
    expect(cache.size).toBeLessThanOrEqual(4_096);
    expect(cache.match(blocks).blocks).toBe(0);
  });
});
