import type {Entry} from '../registry/index.js';
import type {Engine} from '../route/index.js';
import {CachedParts} from './promptcache.js';
import {Connections} from './connections.js';
import {Health} from './health.js';
import {OwnLoad} from './load.js';
import type {Prompt} from './protocol.js';

/** One start of one upstream, its connections, and what is believed of it. */
export class Endpoint {
  readonly health = new Health();
  readonly connections: Connections;
  /** Load that this instance has put on it. */
  readonly own = new OwnLoad();
  /** Absent unless it is an engine. */
  cached?: CachedParts;
  /** When it last sent anything, in monotonic ms. */
  heardAt = -Infinity;

  constructor(
    public entry: Entry,
    localAddress: string,
  ) {
    this.connections = new Connections(
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
    this.cached ??= new CachedParts(engine.memoryTokens);
  }

  /** Puts a request that was placed on the upstream's account. */
  assign(
    {prompt, tier}: {prompt?: Prompt; tier: number},
    freshTokens: number,
    now: number,
  ): void {
    this.own.sent(tier, freshTokens, now);
    if (prompt !== undefined) this.cached?.add(prompt.parts);
  }

  /** Closes idle connections; those in use end with their requests. */
  retire(): void {
    this.connections.retire();
  }
}
