import type {Logger} from 'pino';
import {v7 as uuidv7} from 'uuid';
import type {Configuration, Pool} from '../config/index.js';
import type {LeaseManager} from '../lease/index.js';
import type {WeightStore} from '../platform/index.js';
import type {Timer} from '../timer/index.js';
import type {Directory} from '../upstream/index.js';
import type {EngineClient} from './engineclient.js';
import {PoolReconciler} from './poolreconciler.js';

/** Dependencies and settings of [[OrderManager]]. */
export interface OrderParts {
  leases: Pick<LeaseManager, 'held' | 'contend'>;
  directory: Directory;
  client: Pick<EngineClient, 'state' | 'order'>;
  /** Absent if engines don't load weights from a store. */
  weights?: WeightStore;
  timer: Timer;
  logger: Logger;
  /** Name of this instance. */
  instance: string;
  /** Pause between rounds of reconciling a pool, in ms. */
  roundMs: number;
}

/** A pool whose upstreams are runners. */
export type RunnerPool = Extract<Pool, {kind: 'runner'}>;

/**
 * Places models on the engines of every pool whose lease this instance holds,
 * with one [[PoolReconciler]] per pool.
 */
export class OrderManager {
  private readonly reconcilers = new Map<string, PoolReconciler>();

  constructor(private readonly parts: OrderParts) {}

  /** Applies a configuration: contends for the leases of its runner pools. */
  apply({pools}: Configuration): void {
    const activePools = pools.filter(
      (pool): pool is RunnerPool =>
        pool.kind === 'runner' && pool.contract.state === 'active',
    );
    const names = activePools.map(({name}) => name);
    this.parts.leases.contend(names);
    for (const pool of activePools) this.reconcilerOf(pool).apply(pool);
    for (const [name, reconciler] of this.reconcilers) {
      if (names.includes(name)) continue;
      void reconciler.stop();
      this.reconcilers.delete(name);
    }
  }

  /** Stops, and resolves once no order is under way. */
  async stop(): Promise<void> {
    const reconcilers = [...this.reconcilers.values()];
    this.reconcilers.clear();
    await Promise.all(reconcilers.map(reconciler => reconciler.stop()));
  }

  private reconcilerOf({name}: RunnerPool): PoolReconciler {
    const known = this.reconcilers.get(name);
    if (known !== undefined) return known;
    const reconciler = new PoolReconciler(name, this.parts, uuidv7);
    this.reconcilers.set(name, reconciler);
    reconciler.start();
    return reconciler;
  }
}
