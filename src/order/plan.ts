import type {EngineState, EngineTask, LoadedModel} from './protocol.js';

/** Loads under way in a pool at once, so that pools share the weight store. */
const LOADS_AT_ONCE = 2;
/** How long an engine that failed a load is not told to repeat it. */
const FAILED_RETRY_MS = 30_000;

/** A model as it should be in a pool. */
export interface WantedModel {
  name: string;
  version: string;
  /** Adapters, the most wanted first. */
  adapters: readonly string[];
  /** Copies the configuration asks for at least. */
  minimum: number;
  /** Copies there should be; not below the minimum. */
  target: number;
}

/** An engine as one round sees it. */
export interface EngineView {
  name: string;
  zone: string;
  state: EngineState;
  /** Whether it takes new work; one that is leaving gets no model. */
  takesWork: boolean;
  /** Whether the state was read this time; if not, it is the last known. */
  reachable: boolean;
}

/** What a round plans with. */
export interface PlanInput {
  models: readonly WantedModel[];
  engines: readonly EngineView[];
  /** Whether the weight store can take one more load. */
  storeReady: boolean;
  /** Whether the state of every engine is known, or it is given up. */
  complete: boolean;
  inUse: (model: string) => boolean;
}

/** One order of a plan. */
export interface PlannedOrder {
  engine: string;
  task: EngineTask;
}

/**
 * Compares what engines hold with what they should, and returns the next
 * orders. Orders are few, and each is harmless when repeated; the next round
 * plans anew from what it then finds.
 */
export function planOrders(input: PlanInput): PlannedOrder[] {
  const underWay = input.engines.reduce(
    (sum, {state}) => sum + state.pending.length,
    0,
  );
  const free = input.storeReady ? LOADS_AT_ONCE - underWay : 0;
  if (free <= 0) return [];
  const loads = [
    ...planCopies(input),
    ...planVersions(input),
    ...planAdapters(input),
  ];
  if (loads.length > 0) return distinctEngines(loads).slice(0, free);
  return planRoom(input);
}

function distinctEngines(orders: PlannedOrder[]): PlannedOrder[] {
  const engines = new Set<string>();
  return orders.filter(({engine}) => {
    const first = !engines.has(engine);
    engines.add(engine);
    return first;
  });
}

/** Copies of a model, those under way included. */
function copiesOf(model: string, engines: readonly EngineView[]): number {
  return engines.filter(engine => holds(engine, model)).length;
}

function holds({state, takesWork}: EngineView, model: string): boolean {
  if (!takesWork) return false;
  return (
    loadedOn(state, model) !== undefined ||
    state.pending.some(pending => pending.model === model)
  );
}

function loadedOn(state: EngineState, model: string): LoadedModel | undefined {
  return state.loaded.find(loaded => loaded.model === model);
}

function hasRoom({state}: EngineView): boolean {
  const models = new Set([
    ...state.loaded.map(({model}) => model),
    ...state.pending.map(({model}) => model),
  ]);
  return models.size < state.modelSlots;
}

function failedOn(
  {failed}: EngineState,
  model: string,
  adapter?: string,
): boolean {
  return failed.some(
    failure =>
      failure.model === model &&
      failure.adapter === adapter &&
      failure.ageMs < FAILED_RETRY_MS,
  );
}

/** Whether an engine can be given a model, or more of it. */
function takesOrders({takesWork, reachable}: EngineView): boolean {
  return takesWork && reachable;
}

/** Models with too few copies, those below their minimum first. */
function lacking({models, engines}: PlanInput): WantedModel[] {
  const missing = (model: WantedModel) =>
    model.target - copiesOf(model.name, engines);
  const belowMinimum = ({name, minimum}: WantedModel) =>
    copiesOf(name, engines) < minimum;
  return models
    .filter(model => missing(model) > 0)
    .sort(
      (a, b) =>
        Number(belowMinimum(b)) - Number(belowMinimum(a)) ||
        missing(b) - missing(a),
    );
}

function planCopies(input: PlanInput): PlannedOrder[] {
  const taken = new Set<string>();
  return lacking(input).flatMap(model => {
    const engine = bestEngine(model, input.engines, taken);
    if (engine === undefined) return [];
    taken.add(engine.name);
    const {name, version} = model;
    const task: EngineTask = {type: 'loadModel', model: name, version};
    return [{engine: engine.name, task}];
  });
}

/** The engine for one more copy: in the zone with fewest, least loaded. */
function bestEngine(
  {name}: WantedModel,
  engines: readonly EngineView[],
  taken: ReadonlySet<string>,
): EngineView | undefined {
  const inZone = (zone: string) =>
    copiesOf(
      name,
      engines.filter(engine => engine.zone === zone),
    );
  return engines
    .filter(
      engine =>
        takesOrders(engine) &&
        !taken.has(engine.name) &&
        !holds(engine, name) &&
        hasRoom(engine) &&
        !failedOn(engine.state, name),
    )
    .sort(
      (a, b) =>
        inZone(a.zone) - inZone(b.zone) ||
        a.state.loaded.length - b.state.loaded.length ||
        a.name.localeCompare(b.name),
    )[0];
}

/** Changes versions on one engine at a time; the old one serves meanwhile. */
function planVersions({models, engines}: PlanInput): PlannedOrder[] {
  return models.flatMap(({name, version}) => {
    const changing = engines.some(({state}) =>
      state.pending.some(({model, adapter}) => {
        return model === name && adapter === undefined;
      }),
    );
    const outdated = engines.filter(takesOrders).find(({state}) => {
      const loaded = loadedOn(state, name);
      if (loaded === undefined || loaded.version === version) return false;
      return !failedOn(state, name);
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
          const loaded = loadedOn(state, name);
          if (loaded === undefined) return false;
          if (loaded.adapters.includes(adapter)) return false;
          if (failedOn(state, name, adapter)) return false;
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
 * Makes room for a model that lacks copies and fits nowhere. Unloads nothing
 * unless every engine's state is known, so that the last copy stays.
 */
function planRoom(input: PlanInput): PlannedOrder[] {
  const {engines, complete} = input;
  const needy = lacking(input)[0];
  if (needy === undefined || !complete) return [];
  const belowMinimum = copiesOf(needy.name, engines) < needy.minimum;
  for (const engine of engines) {
    if (!takesOrders(engine) || holds(engine, needy.name)) continue;
    if (failedOn(engine.state, needy.name)) continue;
    const victim = engine.state.loaded.find(({model}) =>
      maySpare(model, input, belowMinimum),
    );
    if (victim === undefined) continue;
    const task: EngineTask = {type: 'unloadModel', model: victim.model};
    return [{engine: engine.name, task}];
  }
  return [];
}

/** Whether a copy of a model may go in favour of another model. */
function maySpare(
  name: string,
  {models, engines, inUse}: PlanInput,
  urgent: boolean,
): boolean {
  const copies = engines.filter(
    engine => takesOrders(engine) && loadedOn(engine.state, name) !== undefined,
  ).length;
  if (copies <= 1 && inUse(name)) return false;
  const wanted = models.find(model => model.name === name);
  if (wanted === undefined) return true;
  return copies > (urgent ? wanted.minimum : wanted.target);
}
