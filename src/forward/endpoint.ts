import type {RegistryEntry} from '../registry/index.js';
import type {Engine} from '../route/index.js';
import {PromptCacheModel} from './promptcache.js';
import {ConnectionPool} from './connections.js';
import {Health} from './health.js';
import {OwnLoad} from './load.js';
import type {Prompt} from './protocol.js';

/** One start of one upstream, its connections, and what is believed of it. */
export class Endpoint {
  readonly health = new Health();
  readonly connections: ConnectionPool;
  /** Load that this instance has put on it. */
  readonly ownLoad = new OwnLoad();
  /** Absent unless it is an engine. */
  promptCache?: PromptCacheModel;
  /** When it last sent anything, in monotonic ms. */
  lastHeardAt = -Infinity;

  constructor(
    public entry: RegistryEntry,
    localAddress: string,
  ) {
    this.connections = new ConnectionPool(
      `http://${entry.host}:${entry.port}`,
      localAddress,
    );
  }

  get id(): string {
    return this.entry.id;
  }

  /** Takes in what kind of upstream it is. */
  configure(engine: Engine | undefined): void {
    if (engine === undefined) return;
    this.promptCache ??= new PromptCacheModel(engine.kvCacheTokens);
  }

  /** Puts a request that was placed on the upstream's account. */
  recordPlacement(
    {prompt, tier}: {prompt?: Prompt; tier: number},
    freshTokens: number,
    now: number,
  ): void {
    this.ownLoad.add(tier, freshTokens, now);
    if (prompt !== undefined) this.promptCache?.add(prompt.parts);
  }

  /** Closes idle connections; those in use end with their requests. */
  retire(): void {
    this.connections.retire();
  }
}
