import type {EngineState, EngineTask} from './protocol.js';

/** A change of an engine that its holder did not order. */
export interface UnexpectedChange {
  type: 'appeared' | 'vanished' | 'restarted';
  /** The model; absent when the whole engine was restarted. */
  model?: string;
}

/**
 * Notices changes of engines that come from elsewhere: late orders of an
 * earlier holder, where engines ignore fencing numbers, and restarts. They are
 * mended by the next plan, which rests on what engines hold.
 */
export class ChangeDetector {
  /** Changes noticed so far. */
  changeCount = 0;
  private readonly seen = new Map<string, Set<string>>();
  private readonly ordered = new Map<string, Set<string>>();

  /** Notes an order, whose effect is then not foreign. */
  expect(engine: string, task: EngineTask): void {
    if (task.type === 'changeRole') return;
    const models = this.ordered.get(engine) ?? new Set();
    models.add(task.model);
    this.ordered.set(engine, models);
  }

  /** Compares an engine's models with those of the reading before. */
  compare(engine: string, {loaded, pending}: EngineState): UnexpectedChange[] {
    const models = new Set([
      ...loaded.map(({model}) => model),
      ...pending.map(({model}) => model),
    ]);
    const before = this.seen.get(engine);
    const ordered = this.ordered.get(engine) ?? new Set();
    this.seen.set(engine, models);
    if (pending.length === 0) this.ordered.delete(engine);
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
