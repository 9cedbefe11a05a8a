import type {Entry} from '../registry/index.js';
import type {Engine} from '../route/index.js';
import {CachedParts} from './cached.js';
import {Connections} from './connections.js';
import {Health} from './health.js';
import type {LoadReport} from './protocol.js';

/** Load of an endpoint that others put on it. */
export interface OtherLoad {
  running: number;
  waiting: number;
  /** Monotonic ms. */
  at: number;
}

/** One start of one upstream, its connections, and what is believed of it. */
export class Endpoint {
  readonly health = new Health();
  readonly connections: Connections;
  /** Requests of this instance that are with it. */
  inflight = 0;
  /** Prompt tokens of this instance's requests before their first event. */
  prefillTokens = 0;
  /** Absent unless it is an engine. */
  cached?: CachedParts;
  others?: OtherLoad;
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

  /** Takes in what it says of its load, own requests taken off. */
  report({running, waiting}: LoadReport, now: number): void {
    const own = this.inflight;
    const others = Math.max(0, running + waiting - own);
    this.others = {
      waiting: Math.min(waiting, others),
      running: others - Math.min(waiting, others),
      at: now,
    };
  }

  /** Closes idle connections; those in use end with their requests. */
  retire(): void {
    this.connections.retire();
  }
}
