import type {Configuration} from '../config/index.js';
import type {Demand} from '../request/work.js';
import {Upstream} from './upstream.js';

/** The upstreams of the configuration applied last. */
export class Directory {
  private upstreams = new Map<string, Upstream>();
  private appliedCount = 0;

  /** Connections to upstreams are opened from `localAddress`. */
  constructor(private readonly localAddress: string) {}

  /**
   * Applies a configuration. Upstreams with the same name, URL and zone are
   * kept, new ones are created, and the others are closed.
   */
  apply(configuration: Configuration): void {
    const updated = new Map<string, Upstream>();
    for (const pool of configuration.pools) {
      for (const {name, zone, url} of pool.upstreams) {
        const existing = this.upstreams.get(name);
        const unchanged = existing?.url === url && existing.zone === zone;
        const upstream = unchanged
          ? existing
          : new Upstream(name, zone, url, pool, this.localAddress);
        upstream.pool = pool;
        updated.set(name, upstream);
      }
    }
    for (const [name, upstream] of this.upstreams) {
      if (updated.get(name) !== upstream) void upstream.close();
    }
    this.upstreams = updated;
    this.appliedCount++;
  }

  /** Increases with every configuration that is applied. */
  get version(): number {
    return this.appliedCount;
  }

  /** Returns all upstreams in the order of the configuration. */
  all(): Upstream[] {
    return [...this.upstreams.values()];
  }

  /** Whether any pool serves the demand, regardless of the pool's state. */
  hasPoolFor(demand: Demand): boolean {
    return this.all().some(upstream => poolServes(upstream, demand));
  }

  /** Returns the upstreams whose pool serves the demand, in any state. */
  upstreamsFor(demand: Demand): Upstream[] {
    return this.all().filter(upstream => poolServes(upstream, demand));
  }

  /**
   * Returns the upstreams that serve the demand and accept new work: those that
   * have the model loaded if there are any, else all.
   */
  candidates(demand: Demand): Upstream[] {
    const accepting = this.upstreamsFor(demand).filter(takesWork);
    const loaded = accepting.filter(upstream =>
      hasModelLoaded(upstream, demand),
    );
    return loaded.length > 0 ? loaded : accepting;
  }

  /** Closes all connections once running attempts have finished. */
  async close(): Promise<void> {
    await Promise.all(this.all().map(upstream => upstream.close()));
  }
}

/** Whether the upstream's pool is configured to serve the demand. */
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

/**
 * Whether the upstream accepts new work: the contract of its pool is active and
 * no source says that the upstream is leaving.
 */
export function takesWork(upstream: Upstream): boolean {
  const pool = upstream.pool;
  if (pool.contract.state !== 'active') return false;
  if (pool.leaving.includes(upstream.name)) return false;
  if (upstream.leaving) return false;
  return upstream.load?.leaving !== true;
}

/**
 * Whether the upstream has the requested model and adapter loaded. True if it
 * does not report its models.
 */
export function hasModelLoaded({load}: Upstream, demand: Demand): boolean {
  if (load?.models === undefined || demand.type !== 'generation') return true;
  const {model, adapter} = demand;
  const name = adapter === undefined ? model : `${model}:${adapter}`;
  return load.models.includes(name);
}
