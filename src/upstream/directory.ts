import type {Configuration} from '../config/index.js';
import type {Demand} from '../request/work.js';
import {Upstream} from './upstream.js';

/** All upstreams of the configuration in force. */
export class Directory {
  private upstreams = new Map<string, Upstream>();
  private changes = 0;

  /** Connections to upstreams are opened from `localAddress`. */
  constructor(private readonly localAddress: string) {}

  /** Follows a configuration: keeps, adds and closes upstreams. */
  apply(configuration: Configuration): void {
    const next = new Map<string, Upstream>();
    for (const pool of configuration.pools) {
      for (const {name, zone, url} of pool.upstreams) {
        const known = this.upstreams.get(name);
        const same = known?.url === url && known.zone === zone;
        const upstream = same
          ? known
          : new Upstream(name, zone, url, pool, this.localAddress);
        upstream.pool = pool;
        next.set(name, upstream);
      }
    }
    for (const [name, upstream] of this.upstreams) {
      if (next.get(name) !== upstream) void upstream.close();
    }
    this.upstreams = next;
    this.changes++;
  }

  /** Grows with every configuration that was applied. */
  get version(): number {
    return this.changes;
  }

  /** Every upstream, in the order of the configuration. */
  all(): Upstream[] {
    return [...this.upstreams.values()];
  }

  /** Whether any pool serves the demand, whatever the state of the pool. */
  serves(demand: Demand): boolean {
    return this.all().some(upstream => poolServes(upstream, demand));
  }

  /** Upstreams whose pool serves the demand, whatever their state. */
  upstreamsFor(demand: Demand): Upstream[] {
    return this.all().filter(upstream => poolServes(upstream, demand));
  }

  /** Upstreams that serve the demand and take new work. */
  candidates(demand: Demand): Upstream[] {
    const live = this.upstreamsFor(demand).filter(takesWork);
    const holding = live.filter(upstream => hasModelLoaded(upstream, demand));
    return holding.length > 0 ? holding : live;
  }

  /** Closes every connection once running attempts have finished. */
  async close(): Promise<void> {
    await Promise.all(this.all().map(upstream => upstream.close()));
  }
}

/** Whether an upstream's pool serves the demand. */
export function poolServes(upstream: Upstream, demand: Demand): boolean {
  const pool = upstream.pool;
  switch (pool.kind) {
    case 'runner':
      if (demand.type !== 'generation') return false;
      return pool.models.some(
        model =>
          model.name === demand.model &&
          (demand.adapter === undefined ||
            model.adapters.includes(demand.adapter)),
      );
    case 'service':
      return demand.type === 'service' && pool.service === demand.service;
  }
}

/** Whether an upstream may be given new work. */
export function takesWork(upstream: Upstream): boolean {
  const pool = upstream.pool;
  if (pool.contract.state !== 'active') return false;
  if (pool.leaving.includes(upstream.name)) return false;
  if (upstream.leaving) return false;
  return upstream.load?.leaving !== true;
}

/** Whether an upstream holds what the demand needs, as far as it tells. */
export function hasModelLoaded({load}: Upstream, demand: Demand): boolean {
  if (load?.models === undefined || demand.type !== 'generation') return true;
  const {model, adapter} = demand;
  const name = adapter === undefined ? model : `${model}:${adapter}`;
  return load.models.includes(name);
}
