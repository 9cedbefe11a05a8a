import type {Address} from '../forward/index.js';

/** Port of /metrics in the deployment, if the settings name no other. */
export const DEFAULT_METRICS_PORT = 9464;

/** Memory of a machine whose settings don't name it, in bytes. */
export const DEFAULT_MEMORY_BYTES = 250_000_000;

/**
 * Requests of a connection that may wait for earlier ones, if the settings don't
 * say.
 */
export const DEFAULT_REQUESTS_AHEAD = 32;

/** Decoded settings of one gateway. */
export interface GatewaySettings {
  /** Name of this instance. */
  instance: string;
  /** Local address of outgoing connections and of the port for peers. */
  host: string;
  /** Availability zone of this instance. */
  zone: string;
  /** Region of each availability zone. */
  regions: Record<string, string>;
  /** Address to listen on for requests of callers. */
  callerAddress: Address;
  /** Address that serves the readiness check of the load balancer. */
  readinessAddress: Address;
  /** Address that serves /metrics; not served if absent. */
  metricsAddress?: Address;
  /** Port for peers, over TCP and UDP. */
  gossipPort: number;
  /** Memory of the machine, in bytes; [[DEFAULT_MEMORY_BYTES]] if absent. */
  memoryBytes?: number;
  /**
   * Requests of a caller's connection that may wait for earlier ones;
   * [[DEFAULT_REQUESTS_AHEAD]] if absent. A connection with more is closed.
   */
  requestsAhead?: number;
  /** Capacity of this instance's own link, in bytes a second. */
  linkBytesPerSecond: number;
  /**
   * Whether the whole system starts for the first time, so that nothing that it
   * did earlier can be missing from the store; false by default.
   */
  isFirstStart?: boolean;
  /** Time from the stop signal to the end of the process, in ms. */
  graceMs: number;
  /**
   * Time for which a leaving upstream still takes requests if it is the last of
   * its service, in ms; 0 by default.
   */
  upstreamDrainMs?: number;
  /** Retries allowed per first attempt, counted over a sliding window. */
  retry: {ratio: number; windowMs: number};
}
