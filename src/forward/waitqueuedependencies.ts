import type {Logger} from 'pino';
import type {Timer} from '../timer/index.js';
import type {Endpoint} from './endpoint.js';
import type {LoadView} from './load.js';
import type {SpeedEstimator} from './speedestimator.js';

/** Dependencies of [[WaitQueue]]. */
export interface WaitQueueDependencies {
  timer: Timer;
  logger: Logger;
  random: () => number;
  speeds: SpeedEstimator;
  /** Most urgent tier that waits at other instances; `Infinity` if none. */
  waitingTierElsewhere(): number;
  /** Load of other instances on an upstream, with the age of the data. */
  remoteLoadOf(upstream: string): LoadView & {ageMs: number};
  /** Number of instances that share the upstreams, this one included. */
  fleetSize(): number;
  /** Sends the current load to the other instances at once. */
  announceLoad(): void;
  /** Upstreams of the service that accept new requests. */
  endpoints(): readonly Endpoint[];
  /** Network round trip to a zone, in ms. */
  roundTripMs(zone: string): number;
}
