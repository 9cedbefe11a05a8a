import type {Logger} from 'pino';
import type {Gossip} from '../fleet/index.js';
import {
  RetryBudget,
  ServiceState,
  SpeedEstimator,
  WaitQueue,
  type Endpoint,
  type Endpoints,
} from '../forward/index.js';
import type {Timer} from '../timer/index.js';
import {roundTripMs, type Location} from './roundtrip.js';

/** The settings that the states of services depend on. */
export interface ServiceSettings extends Location {
  /** Retries allowed per first attempt, counted over a sliding window. */
  retry: {ratio: number; windowMs: number};
  /** Time for which the last upstream of a service serves on, in ms. */
  upstreamDrainMs?: number;
}

/** Dependencies of [[ServiceStates]]. */
export interface ServiceStatesParts {
  timer: Timer;
  logger: Logger;
  /** Returns a random number in [0, 1). */
  random: () => number;
  endpoints: Endpoints;
  gossip: Gossip;
  /** Settings in use, which may change. */
  settings: () => ServiceSettings;
}

/** The states of the services to which requests were forwarded. */
export class ServiceStates {
  private readonly states = new Map<string, ServiceState>();

  constructor(private readonly parts: ServiceStatesParts) {}

  all(): Iterable<ServiceState> {
    return this.states.values();
  }

  /** Returns the state of a service, which the first request creates. */
  of(service: string): ServiceState {
    const existing = this.states.get(service);
    if (existing !== undefined) return existing;
    const speeds = new SpeedEstimator();
    const waitQueue = this.createWaitQueue(service, speeds);
    const retryBudget = new RetryBudget(this.parts.settings().retry);
    const state = new ServiceState(service, waitQueue, retryBudget, speeds);
    this.states.set(service, state);
    return state;
  }

  /** Upstreams of a service that accept new requests. */
  upstreamsOf(service: string): readonly Endpoint[] {
    const {endpoints, timer, settings} = this.parts;
    const drainMs = settings().upstreamDrainMs ?? 0;
    return endpoints.readyOf(service, timer.now(), drainMs);
  }

  /** For each service, the most urgent tier with a long-waiting request. */
  waitingTiers(): Array<[string, number]> {
    return [...this.states]
      .map(([service, {waitQueue}]): [string, number] => [
        service,
        waitQueue.waitingTier(),
      ])
      .filter(([, tier]) => tier !== Infinity);
  }

  /** Gauges of /metrics, by name. */
  gauges(): Record<string, number> {
    const now = this.parts.timer.now();
    let waiting = 0;
    let repeatsLeft = 0;
    for (const {waitQueue, retryBudget} of this.states.values()) {
      waiting += waitQueue.length;
      repeatsLeft += retryBudget.remaining(now);
    }
    return {waiting, repeats_left: repeatsLeft};
  }

  private createWaitQueue(service: string, speeds: SpeedEstimator): WaitQueue {
    const {timer, logger, random, gossip, settings} = this.parts;
    const {peerLoads} = gossip;
    return new WaitQueue({
      timer,
      logger,
      random,
      speeds,
      waitingTierElsewhere: () => peerLoads.waitingTier(service, timer.now()),
      announceLoad: () => gossip.send(),
      fleetSize: () => 1 + peerLoads.countActive(timer.now()),
      remoteLoadOf: id => peerLoads.loadOn(id, timer.now()),
      endpoints: () => this.upstreamsOf(service),
      roundTripMs: zone => roundTripMs(settings(), zone),
    });
  }
}
