import type {
  EngineRole,
  EngineTask,
  LoadedModel,
  PendingLoad,
} from '../src/order/index.js';
import type {EngineBehaviour} from './enginebehaviour.js';

/** A model, version or adapter that could not be loaded. */
export interface FailedLoad extends PendingLoad {
  reason: string;
  /** Wall-clock ms. */
  at: number;
}

const MAX_RETAINED_FAILURES = 20;

/** The models that an engine has loaded or is loading. */
export class Models {
  readonly loaded: LoadedModel[];
  readonly pending: PendingLoad[] = [];
  readonly failed: FailedLoad[] = [];
  /** Number of requests received for each model, run or not. */
  readonly asked: Record<string, number> = {};
  role: EngineRole = 'general';

  constructor(private readonly behaviour: EngineBehaviour) {
    this.loaded = structuredClone(behaviour.loaded);
  }

  /** Counts a request for a model. */
  countRequest(name: string): void {
    this.asked[name] = (this.asked[name] ?? 0) + 1;
  }

  /** Model names that requests may use: `model` and `model:adapter`. */
  servedNames(): string[] {
    return this.loaded.flatMap(({model, adapters}) => [
      model,
      ...adapters.map(adapter => `${model}:${adapter}`),
    ]);
  }

  /** State for `GET /models`. */
  state() {
    const {loaded, pending, role, asked} = this;
    const now = Date.now();
    const failed = this.failed.map(({at, ...failure}) => ({
      ...failure,
      ageMs: now - at,
    }));
    const {modelSlots} = this.behaviour;
    return {loaded, pending, failed, role, modelSlots, asked};
  }

  /** Whether a model, given as `model` or `model:adapter`, is loaded. */
  serves(name: string): boolean {
    return this.servedNames().includes(name);
  }

  /** Whether loaded and pending models take up all model slots. */
  get allSlotsTaken(): boolean {
    const models = new Set([
      ...this.loaded.map(({model}) => model),
      ...this.pending.map(({model}) => model),
    ]);
    return models.size >= this.behaviour.modelSlots;
  }

  isLoadedOrPending(model: string): boolean {
    return (
      this.loaded.some(loaded => loaded.model === model) ||
      this.pending.some(pending => pending.model === model)
    );
  }

  /** Executes a task; loads continue after the call returns. */
  execute(task: EngineTask): void {
    switch (task.type) {
      case 'loadModel':
      case 'loadVersion':
        void this.load({model: task.model, version: task.version});
        return;
      case 'loadAdapter':
        void this.load({model: task.model, adapter: task.adapter});
        return;
      case 'unloadModel': {
        const index = this.loaded.findIndex(({model}) => model === task.model);
        if (index !== -1) this.loaded.splice(index, 1);
        return;
      }
      case 'changeRole':
        this.role = task.role;
        return;
    }
  }

  private async load(load: PendingLoad): Promise<void> {
    if (this.isLoaded(load)) return;
    if (this.pending.some(other => sameLoad(other, load))) return;
    this.pending.push(load);
    const reason = await this.fetchWeights(load);
    this.pending.splice(this.pending.indexOf(load), 1);
    if (reason === undefined) this.install(load);
    else this.failed.push({...load, reason, at: Date.now()});
    if (this.failed.length > MAX_RETAINED_FAILURES) this.failed.shift();
  }

  private isLoaded({model, version, adapter}: PendingLoad): boolean {
    const loaded = this.loaded.find(other => other.model === model);
    if (loaded === undefined) return false;
    if (adapter !== undefined) return loaded.adapters.includes(adapter);
    return loaded.version === version;
  }

  /** Fetches the weights; returns the reason if that failed. */
  private async fetchWeights(load: PendingLoad): Promise<string | undefined> {
    const {weightsUrl, loadMs} = this.behaviour;
    if (weightsUrl !== '') {
      const name = load.adapter ?? load.model;
      const version = load.version ?? 'adapter';
      try {
        const path = `/weights/${load.model}/${name}/${version}`;
        const answer = await fetch(`${weightsUrl}${path}`);
        await answer.arrayBuffer();
        if (!answer.ok) return `weight store answered ${answer.status}`;
      } catch {
        return 'weight store unreachable';
      }
    }
    await new Promise(resolve => setTimeout(resolve, loadMs));
    return undefined;
  }

  /** Records a finished load, which may replace an older version. */
  private install({model, version, adapter}: PendingLoad): void {
    const loaded = this.loaded.find(other => other.model === model);
    if (adapter !== undefined) {
      loaded?.adapters.push(adapter);
    } else if (loaded !== undefined) {
      loaded.version = version ?? loaded.version;
    } else {
      this.loaded.push({model, version: version ?? '1', adapters: []});
    }
  }
}

function sameLoad(one: PendingLoad, other: PendingLoad): boolean {
  return (
    one.model === other.model &&
    one.version === other.version &&
    one.adapter === other.adapter
  );
}
