import {Client, Pool as Connections} from 'undici';
import type {Pool} from '../config/index.js';
import {ObservedState} from './observedstate.js';

/** Connections an instance opens to one upstream at most. */
const CONNECTIONS_PER_UPSTREAM = 256;
const KEEP_ALIVE_MS = 30_000;
const CONNECT_TIMEOUT_MS = 1_000;

/** Load that an upstream reported about itself, and when it arrived here. */
export interface LoadReport {
  running: number;
  waiting: number;
  /** Share of KV memory in use, 0 to 1. */
  memory: number;
  /** Requests it runs at once at most, if it tells. */
  slots?: number;
  /** Whether the upstream said it is leaving. */
  leaving: boolean;
  /** `MODEL` and `MODEL:ADAPTER` it holds, if it serves no others. */
  models?: string[];
  /** Monotonic ms. */
  receivedAt: number;
}

/** A runner or an instance of a plain service, as this instance sees it. */
export class Upstream {
  /** Attempts of this instance that run on the upstream now. */
  inflight = 0;
  /** Whether anyone but the configuration said that it is leaving. */
  leaving = false;
  /** The newest load report, if any arrived. */
  load?: LoadReport;
  /** What this instance has learnt of its speed, health and cache. */
  readonly observed = new ObservedState();
  readonly connections: Connections;

  constructor(
    readonly name: string,
    readonly zone: string,
    readonly url: string,
    /** The pool as configured when the upstream was last updated. */
    public pool: Pool,
    /** Local address connections are opened from. */
    private readonly localAddress: string,
  ) {
    this.connections = new Connections(new URL(url).origin, {
      connections: CONNECTIONS_PER_UPSTREAM,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      connect: {timeout: CONNECT_TIMEOUT_MS},
      localAddress,
    });
  }

  /** Returns a new connection, outside the kept ones, for its caller to end. */
  openConnection(): Client {
    return new Client(new URL(this.url).origin, {
      pipelining: 1,
      connect: {timeout: CONNECT_TIMEOUT_MS},
      localAddress: this.localAddress,
    });
  }

  /** Closes idle connections and lets running attempts finish. */
  async close(): Promise<void> {
    await this.connections.close();
  }
}
