import type {Logger} from 'pino';
import {v7 as uuidv7} from 'uuid';
import type {Configuration, Pool} from '../config/index.js';
import type {LeaseManager} from '../lease/index.js';
import type {WeightStore} from '../platform/index.js';
import type {Timer} from '../timer/index.js';
import type {Directory} from '../upstream/index.js';
import type {EngineClient} from './engineclient.js';
import {PoolReconciler} from './poolreconciler.js';

/** What an [[OrderManager]] needs. */
export interface OrderParts {
  leases: Pick<LeaseManager, 'held' | 'contend'>;
  directory: Directory;
  client: Pick<EngineClient, 'state' | 'order'>;
  /** Absent where engines have weights of their own. */
  weights?: WeightStore;
  timer: Timer;
  logger: Logger;
  /** Name of this instance. */
  instance: string;
  /** Time between two rounds in a pool, in ms. */
  roundMs: number;
}

/** A pool whose upstreams are runners. */
export type RunnerPool = Extract<Pool, {kind: 'runner'}>;

/**
 * Places models on the engines of every pool whose lease this instance holds,
 * with one task a pool.
 */
export class OrderManager {
  private readonly tasks = new Map<string, PoolReconciler>();

  constructor(private readonly parts: OrderParts) {}

  /** Follows a configuration: contends for its runner pools. */
  apply({pools}: Configuration): void {
    const active = pools.filter(
      (pool): pool is RunnerPool =>
        pool.kind === 'runner' && pool.contract.state === 'active',
    );
    const names = active.map(({name}) => name);
    this.parts.leases.contend(names);
    for (const pool of active) this.taskOf(pool).apply(pool);
    for (const [name, task] of this.tasks) {
      if (names.includes(name)) continue;
      void task.stop();
      this.tasks.delete(name);
    }
  }

  /** Resolves once no order is under way any more. */
  async stop(): Promise<void> {
    const tasks = [...this.tasks.values()];
    this.tasks.clear();
    await Promise.all(tasks.map(task => task.stop()));
  }

  private taskOf({name}: RunnerPool): PoolReconciler {
    const known = this.tasks.get(name);
    if (known !== undefined) return known;
    const task = new PoolReconciler(name, this.parts, uuidv7);
    this.tasks.set(name, task);
    task.start();
    return task;
  }
}
