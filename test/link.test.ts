import {describe, expect, it} from 'vitest';
import type {Placement} from '../src/request/index.js';
import {Distance, LinkBudgets, Topology} from '../src/zone/index.js';
import {SchedulerHarness} from './support/schedulerharness.js';

const LINK = 'delta~upper';

const occupyHome = (rig: SchedulerHarness): void => {
  for (const runner of rig.runners()) {
    if (runner.zone.startsWith('upper')) continue;
    runner.inflight = 20;
  }
};

const take = async (rig: SchedulerHarness, name: string, elapsedMs = 0) => {
  const work = rig.work(name);
  let placement: Placement | undefined;
  void rig.acquire(work).then(result => {
    if (result.isOk()) placement = result.value;
  });
  await rig.timer.advance(elapsedMs + 1);
  rig.scheduler.dispatch();
  await rig.timer.advance(0);
  return {work, placement};
};

describe('paid links', () => {
  it('are not crossed while the region has room', async () => {
    const rig = new SchedulerHarness();
    rig.reportLoad(8);
    for (let n = 0; n < 24; n++) {
      const {placement} = await take(rig, 'operator-chat');
      expect(placement?.upstream.zone).toMatch(/^delta/);
    }
    expect(rig.decisions.linkUse).toEqual([]);
  });

  it('are crossed when the target would be missed at home', async () => {
    const rig = new SchedulerHarness();
    rig.reportLoad(8);
    occupyHome(rig);
    const early = await take(rig, 'recipe-advice');
    expect(early.placement).toBeUndefined();
    await rig.timer.advance(300);
    rig.scheduler.dispatch();
    await rig.timer.advance(0);
    const [placed] = rig.decisions.of(early.work.id, 'placed');
    expect(placed).toMatchObject({crossesLink: LINK});
    const [use] = rig.decisions.linkUse;
    expect(use).toMatchObject({link: LINK, workspace: 'winding-line'});
    expect(use?.bytes).toBeGreaterThan(0);
  });

  it('are never crossed by work that has time', async () => {
    const rig = new SchedulerHarness();
    rig.reportLoad(8);
    occupyHome(rig);
    const {placement} = await take(rig, 'spec-review', 60_000);
    expect(placement).toBeUndefined();
    expect(rig.decisions.linkUse).toEqual([]);
  });

  it('are crossed when no upstream of the region serves the model', async () => {
    const rig = new SchedulerHarness(configuration => {
      for (const pool of configuration.pools) {
        pool.upstreams = pool.upstreams.filter(
          ({zone}) => pool.kind !== 'runner' || zone.startsWith('upper'),
        );
      }
    });
    const {placement} = await take(rig, 'spec-review');
    expect(placement?.upstream.zone).toBe('upper-1');
  });

  it('carry a prompt once: a retry does not cross while home has upstreams', async () => {
    const rig = new SchedulerHarness();
    rig.reportLoad(8);
    occupyHome(rig);
    const work = rig.work('recipe-advice');
    const pending = rig.acquire(work, ['runner-5']);
    await rig.timer.advance(350);
    rig.scheduler.dispatch();
    const result = await Promise.race([pending, Promise.resolve(undefined)]);
    expect(result).toBeUndefined();
  });
});

describe('the byte budget of a link', () => {
  const {configuration} = new SchedulerHarness();
  const link = (instances: number) => {
    const budgets = new LinkBudgets();
    budgets.apply(configuration, instances, 0);
    return budgets;
  };

  it('is divided over the live instances', () => {
    const rate = 20 * 125_000 * 0.7;
    expect(link(1).canSpend(LINK, rate * 2, 0, 0)).toBe(true);
    expect(link(4).canSpend(LINK, rate * 2, 0, 0)).toBe(false);
    expect(link(4).canSpend(LINK, rate / 2, 0, 0)).toBe(true);
  });

  it('leaves part of it to higher tiers and recovers with time', () => {
    const budgets = link(1);
    const rate = 20 * 125_000 * 0.7;
    budgets.spend(LINK, rate * 1.7, 0);
    expect(budgets.canSpend(LINK, 1_000, 0, 0)).toBe(true);
    expect(budgets.canSpend(LINK, 1_000, 3, 0)).toBe(false);
    expect(budgets.canSpend(LINK, 1_000, 3, 1_000)).toBe(true);
  });
});

describe('the topology', () => {
  it('tells zone, region and link apart', () => {
    const {configuration} = new SchedulerHarness();
    const topology = new Topology('delta-1', configuration);
    expect(
      ['delta-1', 'delta-2', 'upper-1'].map(zone => topology.routeTo(zone)),
    ).toEqual([
      {distance: Distance.SameZone, oneWayMs: 0.2},
      {distance: Distance.SameRegion, oneWayMs: 1.5},
      {distance: Distance.Remote, oneWayMs: 12, link: LINK},
    ]);
  });
});
