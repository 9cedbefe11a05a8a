import {Pool} from 'undici';
import type {Entry} from '../registry/index.js';
import type {Engine} from '../route/index.js';
import {CachedParts} from './cached.js';
import {Health} from './health.js';
import type {LoadReport} from './protocol.js';

/** Time in which a connection must be open, in ms. */
const CONNECT_TIMEOUT_MS = 800;
/**
 * Time before an upstream closes an idle connection in which it is not used
 * any more, in ms.
 */
const KEEP_ALIVE_MARGIN_MS = 1_500;
/** How long an idle connection is kept if the upstream doesn't say, in ms. */
const KEEP_ALIVE_MS = 3_000;

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
  readonly connections: Pool;
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
    this.connections = new Pool(`http://${entry.host}:${entry.port}`, {
      connect: {timeout: CONNECT_TIMEOUT_MS, localAddress},
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
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
    void this.connections.close();
  }
}
