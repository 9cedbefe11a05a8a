import type {EngineState, EngineTask} from './protocol.js';

/** A change of an engine that the pool's lease holder did not order. */
export interface UnexpectedChange {
  type: 'appeared' | 'vanished' | 'restarted';
  /** The model; absent when the whole engine was restarted. */
  model?: string;
}

/**
 * Detects changes of engines that this holder did not order: restarts, and late
 * orders of a previous holder that engines without fencing execute. The next
 * plan corrects them, as it starts from the engines' actual states.
 */
export class ChangeDetector {
  /** Number of changes detected so far. */
  changeCount = 0;
  /** Models at the last comparison, by engine. */
  private readonly lastModels = new Map<string, Set<string>>();
  /** Models of orders that may still take effect, by engine. */
  private readonly orderedModels = new Map<string, Set<string>>();

  /** Notes an order, so that its effect is not reported as unexpected. */
  expect(engine: string, task: EngineTask): void {
    if (task.type === 'changeRole') return;
    const models = this.orderedModels.get(engine) ?? new Set();
    models.add(task.model);
    this.orderedModels.set(engine, models);
  }

  /** Returns unexpected changes since the engine's previous state. */
  compare(engine: string, {loaded, pending}: EngineState): UnexpectedChange[] {
    const models = new Set([
      ...loaded.map(({model}) => model),
      ...pending.map(({model}) => model),
    ]);
    const before = this.lastModels.get(engine);
    const ordered = this.orderedModels.get(engine) ?? new Set();
    this.lastModels.set(engine, models);
    if (pending.length === 0) this.orderedModels.delete(engine);
    if (before === undefined) return [];
    const changes = changesBetween(before, models).filter(
      ({model}) => model === undefined || !ordered.has(model),
    );
    this.changeCount += changes.length;
    return changes;
  }
}

function changesBetween(
  before: ReadonlySet<string>,
  after: ReadonlySet<string>,
): UnexpectedChange[] {
  if (before.size > 0 && after.size === 0) return [{type: 'restarted'}];
  const vanished = [...before]
    .filter(model => !after.has(model))
    .map(model => ({type: 'vanished', model}) as const);
  const appeared = [...after]
    .filter(model => !before.has(model))
    .map(model => ({type: 'appeared', model}) as const);
  return [...vanished, ...appeared];
}
