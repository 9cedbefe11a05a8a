import {Pool as Connections, type Dispatcher} from 'undici';
import type {Pool} from '../config/index.js';
import {ObservedState} from './observedstate.js';
import {openGuardedClient} from './pauseguard.js';

/** Limits the connections of one router instance to one upstream. */
const MAX_CONNECTIONS_PER_UPSTREAM = 256;
const KEEP_ALIVE_TIMEOUT_MS = 30_000;
const CONNECT_TIMEOUT_MS = 1_000;

/** Load that an upstream reported about itself. */
export interface LoadReport {
  /** Requests being executed. */
  running: number;
  /** Requests in the upstream's own wait queue. */
  waiting: number;
  /** Share of the KV cache memory in use, 0 to 1. */
  memory: number;
  /** Maximum number of concurrent requests, if reported. */
  slots?: number;
  /** Whether the upstream reports that it is leaving the fleet. */
  leaving: boolean;
  /**
   * Loaded models, each as `MODEL` or `MODEL:ADAPTER`; absent if the upstream
   * does not restrict which models it serves.
   */
  models?: string[];
  /** Monotonic time at which this instance received the report, in ms. */
  receivedAt: number;
}

/** A runner or a plain-service instance that requests are forwarded to. */
export class Upstream {
  /** Attempts of this router instance in flight on the upstream. */
  inflight = 0;
  /**
   * Whether a source other than the configuration says that it is leaving; set
   * from [[LeavingRegister]].
   */
  leaving = false;
  /** The latest load report, if one has been received. */
  load?: LoadReport;
  /** Latency, health and cache contents as observed by this instance. */
  readonly observed = new ObservedState();
  readonly connections: Connections;

  constructor(
    readonly name: string,
    readonly zone: string,
    readonly url: string,
    /** Pool settings from the configuration applied last. */
    public pool: Pool,
    /** Local address that connections are opened from. */
    private readonly localAddress: string,
  ) {
    this.connections = new Connections(new URL(url).origin, {
      connections: MAX_CONNECTIONS_PER_UPSTREAM,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      connect: {timeout: CONNECT_TIMEOUT_MS},
      localAddress,
      factory: (origin, options) => openGuardedClient(origin, options),
    });
  }

  /** Opens a connection outside the pool; the caller has to close it. */
  openConnection(): Dispatcher.ComposedDispatcher {
    return openGuardedClient(new URL(this.url).origin, {
      pipelining: 1,
      connect: {timeout: CONNECT_TIMEOUT_MS},
      localAddress: this.localAddress,
    });
  }

  /** Closes the pool's connections once running attempts have finished. */
  async close(): Promise<void> {
    await this.connections.close();
  }
}
