import {describe, expect, it} from 'vitest';
import {
  CopyTargets,
  DemandMeter,
  planOrders,
  ChangeDetector,
  type EngineState,
  type EngineView,
  type LoadedModel,
  type ModelNeed,
  type PlanInput,
  type WantedModel,
} from '../src/order/index.js';
import {seededRandom, type Random} from '../stand-ins/index.js';

const held = (model: string, version = '1', adapters: string[] = []) => ({
  model,
  version,
  adapters,
});

const state = (
  loaded: LoadedModel[],
  rest: Partial<EngineState> = {},
): EngineState => ({
  loaded,
  pending: [],
  failed: [],
  modelSlots: 2,
  fencing: -1,
  asked: {},
  ...rest,
});

const engine = (
  name: string,
  loaded: LoadedModel[] = [],
  rest: Partial<EngineView> & {state?: EngineState} = {},
): EngineView => ({
  name,
  zone: 'zone-1',
  state: state(loaded),
  takesWork: true,
  reachable: true,
  ...rest,
});

const wanted = (name: string, minimum: number, target = minimum) => ({
  name,
  version: '1',
  adapters: [],
  minimum,
  target,
});

const plan = (
  models: WantedModel[],
  engines: EngineView[],
  rest: Partial<PlanInput> = {},
) =>
  planOrders({
    models,
    engines,
    storeReady: true,
    complete: true,
    inUse: () => true,
    ...rest,
  }).map(({engine: name, task}) => {
    const {type, ...what} = task;
    return `${name}: ${type} ${Object.values(what).join(' ')}`;
  });

describe('a plan', () => {
  it('spreads missing copies over zones, a few loads at once', () => {
    const engines = [
      engine('e1', [held('a')]),
      engine('e2'),
      engine('e3', [], {zone: 'zone-2'}),
      engine('e4', [], {zone: 'zone-2', takesWork: false}),
    ];
    expect(plan([wanted('a', 3), wanted('b', 1)], engines)).toEqual([
      'e3: loadModel a 1',
      'e2: loadModel b 1',
    ]);
  });

  it('orders nothing while loads are under way or the store is not', () => {
    const pending = [{model: 'a', version: '1'}];
    const busy = [0, 1].map(n =>
      engine(`e${n}`, [], {state: state([], {pending})}),
    );
    expect(plan([wanted('b', 2)], [...busy, engine('e2')])).toEqual([]);
    const engines = [engine('e0', [held('a'), held('c')])];
    const storeReady = false;
    expect(plan([wanted('b', 1)], engines, {storeReady})).toEqual([]);
  });

  it('changes versions one engine after the other', () => {
    const models = [{...wanted('a', 2), version: '2'}];
    const engines = [engine('e1', [held('a')]), engine('e2', [held('a')])];
    expect(plan(models, engines)).toEqual(['e1: loadVersion a 2']);
    const pending = [{model: 'a', version: '2'}];
    engines[0] = engine('e1', [], {state: state([held('a')], {pending})});
    expect(plan(models, engines)).toEqual([]);
  });

  it('loads adapters where their model is, the most wanted first', () => {
    const models = [{...wanted('a', 1), adapters: ['y', 'x']}];
    expect(plan(models, [engine('e1', [held('a')]), engine('e2')])).toEqual([
      'e1: loadAdapter a y',
    ]);
  });

  it('does not repeat a load soon after it failed', () => {
    const failed = [{model: 'a', version: '1', ageMs: 5_000}];
    const engines = [engine('e1', [], {state: state([], {failed})})];
    expect(plan([wanted('a', 1)], engines)).toEqual([]);
    failed[0] = {model: 'a', version: '1', ageMs: 60_000};
    expect(plan([wanted('a', 1)], engines)).toEqual(['e1: loadModel a 1']);
  });

  it('makes room only from copies that can be spared', () => {
    const full = [held('a'), held('b')];
    const engines = [engine('e1', full), engine('e2', full)];
    const models = [wanted('a', 1, 2), wanted('b', 2), wanted('c', 1)];
    expect(plan(models, engines)).toEqual(['e1: unloadModel a']);
    expect(plan([...models.slice(1), wanted('a', 2)], engines)).toEqual([]);
    const unknown = {complete: false};
    expect(plan(models, engines, unknown)).toEqual([]);
  });

  it('keeps the last copy in use of a model no longer configured', () => {
    const full = [held('old'), held('b')];
    const models = [wanted('b', 1), wanted('c', 1)];
    expect(plan(models, [engine('e1', full)])).toEqual([]);
    const unused = {inUse: (model: string) => model !== 'old'};
    expect(plan(models, [engine('e1', full)], unused)).toEqual([
      'e1: unloadModel old',
    ]);
  });
});

describe('plans in random pools', () => {
  const seeds = Array.from({length: 30}, (_, index) => index + 1);
  const names = ['a', 'b', 'c', 'd', 'e'];

  it.each(seeds)('converge and keep what is in use (seed %i)', seed => {
    const random = seededRandom(seed);
    const engines = Array.from({length: 5}, (_, n) =>
      engine(`e${n}`, someOf(names, random, 2).map(held1)),
    );
    const models = someOf(names, random, 4).map(name => wanted(name, 2));
    for (let round = 0; round < 60; round++) {
      const before = modelsIn(engines);
      for (const order of planOrders({
        models,
        engines,
        storeReady: random() < 0.8,
        complete: true,
        inUse: () => true,
      })) {
        apply(order.engine, order.task);
      }
      expect(modelsIn(engines)).toEqual(expect.arrayContaining(before));
    }
    const copies = models.map(
      ({name}) => engines.filter(({state: s}) => has(s, name)).length,
    );
    expect(Math.min(...copies)).toBeGreaterThanOrEqual(2);

    function apply(name: string, task: {type: string; model?: string}) {
      const target = engines.find(other => other.name === name);
      const model = task.model ?? '';
      if (target === undefined) return;
      const {loaded} = target.state;
      const index = loaded.findIndex(other => other.model === model);
      if (task.type === 'loadModel') loaded.push(held1(model));
      else loaded.splice(index, 1);
      expect(loaded.length).toBeLessThanOrEqual(target.state.modelSlots);
    }
  });

  const held1 = (model: string) => held(model);
  const has = ({loaded}: EngineState, name: string) =>
    loaded.some(({model}) => model === name);
  const modelsIn = (engines: EngineView[]) => [
    ...new Set(engines.flatMap(e => e.state.loaded.map(l => l.model))),
  ];
  const someOf = (all: string[], random: Random, count: number) =>
    [...all].sort(() => random() - 0.5).slice(0, count);
});

describe('targets', () => {
  const update = (targets: CopyTargets, share: number, now: number) => {
    const needs: ModelNeed[] = [
      {model: 'a', minimum: 1, actual: 1, share},
      {model: 'b', minimum: 1, actual: 1, share: 1 - share},
    ];
    return [...targets.update(needs, 6, 4, now).values()];
  };

  it('follow demand that lasts, one copy at a time', () => {
    const targets = new CopyTargets();
    const seen = [0, 20, 55, 90, 200, 500].map(seconds =>
      update(targets, 0.9, seconds * 1_000),
    );
    expect(seen).toEqual([
      [1, 1],
      [1, 1],
      [2, 1],
      [3, 1],
      [4, 1],
      [4, 1],
    ]);
  });

  it('do not follow demand that comes and goes', () => {
    const targets = new CopyTargets();
    for (let now = 0; now < 600_000; now += 20_000) {
      const share = (now / 20_000) % 2 === 0 ? 0.95 : 0.05;
      expect(update(targets, share, now)).toEqual([1, 1]);
    }
  });
});

describe('demand', () => {
  const measure = (meter: DemandMeter, counts: object, now: number) =>
    meter.measure(new Map([['e1', state([], {asked: {...counts}})]]), now);

  it('is measured by counters, also over a restart of an engine', () => {
    const meter = new DemandMeter();
    measure(meter, {a: 5_000}, 0);
    expect([meter.rateOf('a'), meter.inUse('a', 0)]).toEqual([0, true]);
    for (let second = 1; second <= 600; second++) {
      const since = second < 300 ? 5_000 : -2_990;
      const count = since + 10 * second;
      measure(meter, {a: count, 'a:x': 2 * second}, second * 1_000);
    }
    expect(meter.rateOf('a')).toBeCloseTo(12, 0);
    expect(meter.rateOfAdapter('a', 'x')).toBeCloseTo(2, 0);
    expect(meter.inUse('b', 600_000)).toBe(false);
    expect(meter.inUse('a', 1_300_000)).toBe(false);
  });
});

describe('the watch', () => {
  it('tells changes of engines that were not ordered', () => {
    const watch = new ChangeDetector();
    expect(watch.compare('e', state([held('a')]))).toEqual([]);
    watch.expect('e', {type: 'loadModel', model: 'b', version: '1'});
    expect(watch.compare('e', state([held('a'), held('b')]))).toEqual([]);
    expect(watch.compare('e', state([held('b'), held('c')]))).toEqual([
      {type: 'vanished', model: 'a'},
      {type: 'appeared', model: 'c'},
    ]);
  });
});
