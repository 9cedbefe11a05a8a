import type {EngineState, EngineTask, LoadedModel} from './protocol.js';

/** Concurrent loads per pool; pools share the weight store's bandwidth. */
const MAX_CONCURRENT_LOADS = 2;
/** Time before an engine is ordered to repeat a load that failed. */
const FAILED_LOAD_RETRY_DELAY_MS = 30_000;

/** Wanted version, adapters and copies of a model in a pool. */
export interface WantedModel {
  name: string;
  version: string;
  /** Adapters, by descending demand. */
  adapters: readonly string[];
  /** Configured minimum of copies. */
  minimum: number;
  /** Wanted copies; not below the minimum. */
  target: number;
}

/** State of an engine in one round of planning. */
export interface EngineView {
  name: string;
  zone: string;
  state: EngineState;
  /** Whether it takes new requests; if it drains, it gets no more models. */
  takesWork: boolean;
  /** Whether `state` was read in this round; otherwise it is the last known. */
  reachable: boolean;
}

/** Input to [[planOrders]]. */
export interface PlanInput {
  models: readonly WantedModel[];
  engines: readonly EngineView[];
  /** Whether the weight store has capacity for another load. */
  storeReady: boolean;
  /** Whether every engine's state is known or it was unreachable too long. */
  complete: boolean;
  /** Whether a model was requested recently. */
  inUse: (model: string) => boolean;
}

/** An order that a plan contains. */
export interface PlannedOrder {
  engine: string;
  task: EngineTask;
}

/**
 * Compares the engines' actual models with the wanted ones and returns the next
 * orders: a few at a time, each safe to repeat. The next round plans again from
 * the states it then reads.
 */
export function planOrders(input: PlanInput): PlannedOrder[] {
  const pendingLoads = input.engines.reduce(
    (sum, {state}) => sum + state.pending.length,
    0,
  );
  const freeLoads = input.storeReady ? MAX_CONCURRENT_LOADS - pendingLoads : 0;
  if (freeLoads <= 0) return [];
  const loads = [
    ...planCopies(input),
    ...planVersions(input),
    ...planAdapters(input),
  ];
  if (loads.length > 0) return firstPerEngine(loads).slice(0, freeLoads);
  return planUnload(input);
}

/** Keeps only the first order for each engine. */
function firstPerEngine(orders: PlannedOrder[]): PlannedOrder[] {
  const engines = new Set<string>();
  return orders.filter(({engine}) => {
    const first = !engines.has(engine);
    engines.add(engine);
    return first;
  });
}

/** Counts the copies of a model, including those being loaded. */
function countCopies(model: string, engines: readonly EngineView[]): number {
  return engines.filter(engine => holdsOrLoads(engine, model)).length;
}

function holdsOrLoads({state, takesWork}: EngineView, model: string): boolean {
  if (!takesWork) return false;
  return (
    findLoaded(state, model) !== undefined ||
    state.pending.some(pending => pending.model === model)
  );
}

function findLoaded(
  state: EngineState,
  model: string,
): LoadedModel | undefined {
  return state.loaded.find(loaded => loaded.model === model);
}

function hasFreeSlot({state}: EngineView): boolean {
  const models = new Set([
    ...state.loaded.map(({model}) => model),
    ...state.pending.map(({model}) => model),
  ]);
  return models.size < state.modelSlots;
}

/** Whether a load failed too recently to be repeated. */
function failedRecently(
  {failed}: EngineState,
  model: string,
  adapter?: string,
): boolean {
  return failed.some(
    failure =>
      failure.model === model &&
      failure.adapter === adapter &&
      failure.ageMs < FAILED_LOAD_RETRY_DELAY_MS,
  );
}

/** Whether an engine can be sent orders. */
function takesOrders({takesWork, reachable}: EngineView): boolean {
  return takesWork && reachable;
}

/** Models with too few copies, those below their minimum first. */
function modelsLackingCopies({models, engines}: PlanInput): WantedModel[] {
  const missingCopies = (model: WantedModel) =>
    model.target - countCopies(model.name, engines);
  const belowMinimum = ({name, minimum}: WantedModel) =>
    countCopies(name, engines) < minimum;
  return models
    .filter(model => missingCopies(model) > 0)
    .sort(
      (a, b) =>
        Number(belowMinimum(b)) - Number(belowMinimum(a)) ||
        missingCopies(b) - missingCopies(a),
    );
}

function planCopies(input: PlanInput): PlannedOrder[] {
  const usedEngines = new Set<string>();
  return modelsLackingCopies(input).flatMap(model => {
    const engine = bestEngine(model, input.engines, usedEngines);
    if (engine === undefined) return [];
    usedEngines.add(engine.name);
    const {name, version} = model;
    const task: EngineTask = {type: 'loadModel', model: name, version};
    return [{engine: engine.name, task}];
  });
}

/**
 * Engine for another copy of a model: in the zone with the fewest copies, and
 * there the one with the fewest models.
 */
function bestEngine(
  {name}: WantedModel,
  engines: readonly EngineView[],
  usedEngines: ReadonlySet<string>,
): EngineView | undefined {
  const inZone = (zone: string) =>
    countCopies(
      name,
      engines.filter(engine => engine.zone === zone),
    );
  return engines
    .filter(
      engine =>
        takesOrders(engine) &&
        !usedEngines.has(engine.name) &&
        !holdsOrLoads(engine, name) &&
        hasFreeSlot(engine) &&
        !failedRecently(engine.state, name),
    )
    .sort(
      (a, b) =>
        inZone(a.zone) - inZone(b.zone) ||
        a.state.loaded.length - b.state.loaded.length ||
        a.name.localeCompare(b.name),
    )[0];
}

/**
 * Updates a model's version on one engine at a time. The old version serves
 * requests during the load.
 */
function planVersions({models, engines}: PlanInput): PlannedOrder[] {
  return models.flatMap(({name, version}) => {
    const changing = engines.some(({state}) =>
      state.pending.some(({model, adapter}) => {
        return model === name && adapter === undefined;
      }),
    );
    const outdated = engines.filter(takesOrders).find(({state}) => {
      const loaded = findLoaded(state, name);
      if (loaded === undefined || loaded.version === version) return false;
      return !failedRecently(state, name);
    });
    if (changing || outdated === undefined) return [];
    const task: EngineTask = {type: 'loadVersion', model: name, version};
    return [{engine: outdated.name, task}];
  });
}

function planAdapters({models, engines}: PlanInput): PlannedOrder[] {
  return models.flatMap(({name, adapters}) =>
    adapters.flatMap(adapter =>
      engines
        .filter(takesOrders)
        .filter(({state}) => {
          const loaded = findLoaded(state, name);
          if (loaded === undefined) return false;
          if (loaded.adapters.includes(adapter)) return false;
          if (failedRecently(state, name, adapter)) return false;
          return !state.pending.some(
            pending => pending.model === name && pending.adapter === adapter,
          );
        })
        .map(engine => ({
          engine: engine.name,
          task: {type: 'loadAdapter', model: name, adapter} as const,
        })),
    ),
  );
}

/**
 * Unloads a model to make room for one that lacks copies and fits on no engine.
 * Unloads nothing unless every engine's state is known, as it might otherwise
 * unload a model's last copy.
 */
function planUnload(input: PlanInput): PlannedOrder[] {
  const {engines, complete} = input;
  const toLoad = modelsLackingCopies(input)[0];
  if (toLoad === undefined || !complete) return [];
  const belowMinimum = countCopies(toLoad.name, engines) < toLoad.minimum;
  for (const engine of engines) {
    if (!takesOrders(engine) || holdsOrLoads(engine, toLoad.name)) continue;
    if (failedRecently(engine.state, toLoad.name)) continue;
    const toUnload = engine.state.loaded.find(({model}) =>
      canUnload(model, input, belowMinimum),
    );
    if (toUnload === undefined) continue;
    const task: EngineTask = {type: 'unloadModel', model: toUnload.model};
    return [{engine: engine.name, task}];
  }
  return [];
}

/**
 * Whether a copy of a model may be unloaded in favor of a model that is below
 * its minimum, or else below its target.
 */
function canUnload(
  name: string,
  {models, engines, inUse}: PlanInput,
  belowMinimum: boolean,
): boolean {
  const copies = engines.filter(
    engine =>
      takesOrders(engine) && findLoaded(engine.state, name) !== undefined,
  ).length;
  if (copies <= 1 && inUse(name)) return false;
  const wanted = models.find(model => model.name === name);
  if (wanted === undefined) return true;
  return copies > (belowMinimum ? wanted.minimum : wanted.target);
}
