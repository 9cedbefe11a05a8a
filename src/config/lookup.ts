import {timingSafeEqual} from 'node:crypto';
import type {Configuration, Pool, ServiceClass, Workspace} from './document.js';

/** Leading hex digits of a key's hash that are used to index it. */
const KEY_INDEX_DIGITS = 8;

/** A workspace key of the configuration and its owner. */
interface KeyEntry {
  hash: Buffer;
  workspace: Workspace;
}

/**
 * Indexes of a configuration, so that look-ups take time independent of the
 * number of classes, workspaces and pools.
 */
export class Lookup {
  private readonly classes = new Map<string, ServiceClass>();
  private readonly keys = new Map<string, KeyEntry[]>();
  private readonly models = new Map<string, Pool>();
  private readonly services = new Map<string, Pool>();

  private constructor(configuration: Configuration) {
    for (const item of configuration.classes) this.classes.set(item.name, item);
    for (const workspace of configuration.workspaces) this.addKeys(workspace);
    for (const pool of configuration.pools) this.addPool(pool);
  }

  private static readonly built = new WeakMap<Configuration, Lookup>();

  /** Returns the indexes of a configuration, built on first use. */
  static of(configuration: Configuration): Lookup {
    const known = Lookup.built.get(configuration);
    if (known !== undefined) return known;
    const lookup = new Lookup(configuration);
    Lookup.built.set(configuration, lookup);
    return lookup;
  }

  /** The service class with this name. */
  serviceClass(name: string): ServiceClass | undefined {
    return this.classes.get(name);
  }

  /**
   * The workspace that owns the key with this SHA-256. Keys whose hashes share
   * its leading digits are compared in constant time.
   */
  workspace(hash: Buffer): Workspace | undefined {
    const entries = this.keys.get(keyIndexOf(hash)) ?? [];
    return entries.find(entry => timingSafeEqual(entry.hash, hash))?.workspace;
  }

  /** The first pool whose runners serve a model. */
  poolOfModel(model: string): Pool | undefined {
    return this.models.get(model);
  }

  /** The first pool of a plain service. */
  poolOfService(service: string): Pool | undefined {
    return this.services.get(service);
  }

  private addKeys(workspace: Workspace): void {
    for (const {sha256} of workspace.keys) {
      const hash = Buffer.from(sha256, 'hex');
      const entries = this.keys.get(keyIndexOf(hash)) ?? [];
      entries.push({hash, workspace});
      this.keys.set(keyIndexOf(hash), entries);
    }
  }

  private addPool(pool: Pool): void {
    switch (pool.kind) {
      case 'runner':
        for (const {name} of pool.models) {
          if (!this.models.has(name)) this.models.set(name, pool);
        }
        return;
      case 'service':
        if (!this.services.has(pool.service)) {
          this.services.set(pool.service, pool);
        }
        return;
    }
  }
}

function keyIndexOf(hash: Buffer): string {
  return hash.toString('hex', 0, KEY_INDEX_DIGITS / 2);
}
