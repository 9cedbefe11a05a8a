import {describe, expect, it} from 'vitest';
import {AttemptEnd, type Placement} from '../src/request/index.js';
import {
  ConcurrencyLimit,
  Health,
  HealthState,
  HashRing,
  SUBSET_SIZE,
  selectSubset,
  TierUsage,
  type FleetNode,
} from '../src/upstream/index.js';
import {SchedulerHarness} from './support/schedulerharness.js';

const place = async (
  rig: SchedulerHarness,
  name = 'operator-chat',
  tried: string[] = [],
): Promise<Placement> =>
  (await rig.acquire(rig.work(name), tried))._unsafeUnwrap();

describe('the adaptive limit', () => {
  it('grows while latency is that of an unloaded upstream, then backs off', () => {
    const limit = new ConcurrencyLimit();
    for (let n = 0; n < 200; n++) {
      const inflight = limit.value;
      const queueing = Math.max(0, inflight - 24) * 40;
      limit.observeLatency(50 + queueing, 50, inflight, n * 100);
    }
    expect(limit.value).toBeGreaterThan(18);
    expect(limit.value).toBeLessThan(32);
  });

  it('does not grow on traffic that never reaches it', () => {
    const limit = new ConcurrencyLimit();
    const before = limit.value;
    for (let n = 0; n < 100; n++) limit.observeLatency(50, 50, 1, n);
    expect(limit.value).toBe(before);
  });
});

describe('failure detection', () => {
  it('ejects after repeated failures, probes, and backs off longer', () => {
    const health = new Health();
    const states = [health.state(0)];
    for (let n = 0; n < 3; n++) health.addFailure(0);
    states.push(health.state(100), health.state(600));
    health.addFailure(600);
    states.push(health.state(1_500), health.state(1_700));
    health.addSuccess();
    states.push(health.state(1_700));
    expect(states).toEqual([
      HealthState.Healthy,
      HealthState.Ejected,
      HealthState.Probation,
      HealthState.Ejected,
      HealthState.Probation,
      HealthState.Healthy,
    ]);
  });

  it('never ejects all upstreams of a region at once', async () => {
    const rig = new SchedulerHarness();
    for (const {observed: condition} of rig.runners()) {
      for (let n = 0; n < 3; n++) condition.health.addFailure(rig.timer.now());
    }
    const {upstream} = await place(rig);
    expect(upstream.zone).toMatch(/^delta/);
  });

  it('gives a failed upstream nothing, then one attempt to prove itself', async () => {
    const rig = new SchedulerHarness();
    const failed = rig.upstream('runner-1');
    for (let n = 0; n < 3; n++) failed.observed.health.addFailure(0);
    const first = await Promise.all(Array.from({length: 12}, () => place(rig)));
    expect(first.some(({upstream}) => upstream === failed)).toBe(false);
    await rig.timer.advance(600);
    rig.reportLoad(64, 10);
    failed.load = undefined;
    await Promise.all(Array.from({length: 12}, () => place(rig)));
    expect(failed.inflight).toBeLessThanOrEqual(1);
  });
});

describe('the choice of an upstream', () => {
  it('gives a straggler less than the others', async () => {
    const rig = new SchedulerHarness();
    rig.reportLoad(16);
    for (const {observed: condition, name} of rig.runners()) {
      for (let n = 0; n < 50; n++) {
        condition.latency.observeInterToken(name === 'runner-1' ? 80 : 20);
      }
    }
    for (let n = 0; n < 24; n++) await place(rig);
    const [straggler = 0, ...others] = rig
      .runners()
      .slice(0, 4)
      .map(({inflight}) => inflight);
    expect(straggler).toBeLessThan(Math.min(...others));
  });

  it('shuns an upstream that leaves attempts without an answer', async () => {
    const rig = new SchedulerHarness();
    const silent = await place(rig);
    await rig.timer.advance(1_500);
    const next = await Promise.all(Array.from({length: 6}, () => place(rig)));
    const names = next.map(({upstream}) => upstream.name);
    expect(names).not.toContain(silent.upstream.name);
  });

  it('avoids upstreams already tried while others are left', async () => {
    const rig = new SchedulerHarness();
    const tried = ['runner-1', 'runner-2', 'runner-3'];
    const {upstream} = await place(rig, 'operator-chat', tried);
    expect(upstream.name).toBe('runner-4');
  });

  it('spreads the choices of many instances over equal upstreams', async () => {
    const rig = new SchedulerHarness();
    rig.reportLoad(64);
    for (let n = 0; n < 40; n++) {
      const placement = await place(rig);
      placement.firstToken();
    }
    const counts = rig
      .runners()
      .slice(0, 4)
      .map(({inflight}) => inflight);
    expect(Math.min(...counts)).toBeGreaterThan(4);
  });

  it('grows the limit on answers that are not streamed, too', async () => {
    const rig = new SchedulerHarness();
    rig.reportLoad(64);
    const running: Placement[] = [];
    const demand = {
      type: 'generation' as const,
      model: 'spec-13b',
      prompt: 'Review.',
      stream: false,
    };
    for (let n = 0; n < 400; n++) {
      void rig.acquire(rig.work('spec-review', {demand})).then(result => {
        if (result.isOk()) running.push(result.value);
      });
    }
    for (let round = 0; round < 60; round++) {
      await rig.timer.advance(10);
      for (const placement of running.splice(0, 8)) {
        placement.release(AttemptEnd.Completed);
      }
    }
    const limits = rig
      .runners()
      .map(({observed: condition}) => condition.concurrencyLimit.value);
    expect(Math.max(...limits)).toBeGreaterThan(12);
  });

  it('keeps slots free that higher tiers used a moment ago', () => {
    const demand = new TierUsage();
    for (let n = 0; n < 4; n++) demand.recordStart(1, 0);
    for (let n = 0; n < 3; n++) demand.recordEnd(1, 100);
    expect(demand.reservedSlots(3, 100)).toBeCloseTo(3, 0);
    expect(demand.reservedSlots(1, 100)).toBe(0);
    expect(demand.reservedSlots(3, 30_000)).toBeLessThan(0.1);
  });

  it('leaves the last slots to higher tiers', async () => {
    const rig = new SchedulerHarness();
    rig.reportLoad(8);
    const granted: string[] = [];
    for (let n = 0; n < 60; n++) {
      void rig.acquire(rig.work('spec-review')).then(result => {
        if (result.isOk()) granted.push(result.value.upstream.name);
      });
    }
    await rig.timer.advance(1);
    expect(granted).toHaveLength(24);
    const advice = await place(rig, 'recipe-advice');
    expect(advice.priority).toBe(0);
    advice.release(AttemptEnd.Completed);
  });
});

describe('large fleets', () => {
  const zones = Array.from({length: 9}, (_, n) => ({
    zone: `zone-${n}`,
    region: `region-${n % 4}`,
  }));
  const at = (kind: string, count: number): FleetNode[] =>
    Array.from({length: count}, (_, n) => ({
      name: `${kind}-${n}`,
      ...(zones[n % zones.length] as Omit<FleetNode, 'name'>),
    }));
  const upstreams = at('runner', 900);
  const instances = at('router', 117);
  const subsets = (fleet: FleetNode[]) =>
    new Map(
      fleet.map(self => [
        self.name,
        selectSubset(self, fleet, upstreams).map(({name}) => name),
      ]),
    );

  it('give every upstream the same number of instances, in its zone', () => {
    const counts = new Map<string, number>();
    for (const names of subsets(instances).values()) {
      expect(names.length).toBeGreaterThan(SUBSET_SIZE / 2);
      expect(names.length).toBeLessThan(SUBSET_SIZE * 2);
      for (const name of names) counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    expect(counts.size).toBe(upstreams.length);
    expect(new Set(counts.values()).size).toBe(1);
  });

  it('move little when an instance goes', () => {
    const before = subsets(instances);
    const after = subsets(instances.slice(1));
    let moved = 0;
    let kept = 0;
    for (const [name, names] of after) {
      const old = new Set(before.get(name));
      kept += names.filter(item => old.has(item)).length;
      moved += names.filter(item => !old.has(item)).length;
    }
    expect(moved / (moved + kept)).toBeLessThan(0.02);
  });

  it('agree on the order of names for a key, and move few of them', () => {
    const names = upstreams.map(({name}) => name);
    const ring = new HashRing(names);
    const same = new HashRing([...names].reverse());
    const smaller = new HashRing(names.slice(1));
    const keys = Array.from({length: 500}, (_, n) => `key-${n}`);
    const first = (of: HashRing) => keys.map(key => of.lookup(key, 1)[0]);
    expect(first(ring)).toEqual(first(same));
    const moved = first(smaller).filter((name, n) => name !== first(ring)[n]);
    expect(moved.length).toBeLessThan(10);
  });
});
