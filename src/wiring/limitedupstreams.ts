import type {
  PermitDemand,
  PermitUpstreams,
  RateStatement,
  UpstreamProcess,
} from '../fleet/index.js';
import {
  rateStatementOf,
  type Endpoint,
  type Endpoints,
  type ResponseObserver,
} from '../forward/index.js';
import type {Timer} from '../timer/index.js';
import type {ServiceStates} from './servicestates.js';

/** Time for which permits are asked for ahead, in ms. */
const AHEAD_MS = 250;

/** Dependencies of [[LimitedUpstreams]]. */
export interface LimitedUpstreamsParts {
  timer: Timer;
  endpoints: Endpoints;
  observer: ResponseObserver;
  /** States of the services, which are created after this. */
  services: () => ServiceStates;
}

/** The upstreams that declare a rate, as the exchange of permits sees them. */
export class LimitedUpstreams implements PermitUpstreams {
  constructor(private readonly parts: LimitedUpstreamsParts) {}

  isNeeded(): boolean {
    for (const {limit} of this.parts.endpoints.all()) {
      if (limit.perSecond !== undefined) return true;
    }
    return false;
  }

  demands(): PermitDemand[] {
    const {services, timer} = this.parts;
    const now = timer.now();
    return [...services().all()].flatMap(service => {
      const demand = service.waitQueue.demand();
      if (demand === undefined) return [];
      return services()
        .upstreamsOf(service.name)
        .flatMap(endpoint => {
          const {limit, id, entry} = endpoint;
          const {waiting, tier} = demand;
          if (limit.perSecond === undefined) return [];
          const most = Math.max(1, (limit.perSecond * AHEAD_MS) / 1_000);
          const count = Math.min(Math.max(1, waiting), Math.ceil(most));
          const missing = count - limit.held(now);
          if (missing <= 0) return [];
          return {
            service: service.name,
            upstream: [id, entry.startedAt ?? 0],
            zone: entry.zone,
            statement: rateStatementOf(endpoint, now),
            waiting,
            count: missing,
            ...(tier === undefined ? {} : {tier}),
          };
        });
    });
  }

  find(
    upstream: UpstreamProcess,
  ): {zone: string; perSecond?: number} | undefined {
    const endpoint = this.endpointOf(upstream);
    if (endpoint === undefined) return undefined;
    const {perSecond} = endpoint.limit;
    const {zone} = endpoint.entry;
    return {zone, ...(perSecond === undefined ? {} : {perSecond})};
  }

  learn(statement: RateStatement): void {
    this.parts.observer.learnRate(statement);
  }

  grant(upstream: UpstreamProcess, count: number): void {
    const endpoint = this.endpointOf(upstream);
    if (endpoint === undefined) return;
    endpoint.limit.grant(count, this.parts.timer.now());
    this.parts.services().of(endpoint.entry.service).waitQueue.placeWaiting();
  }

  expect(upstream: UpstreamProcess, waitMs: number): void {
    const limit = this.endpointOf(upstream)?.limit;
    limit?.expect(waitMs, this.parts.timer.now());
  }

  private endpointOf(upstream: UpstreamProcess): Endpoint | undefined {
    return this.parts.endpoints.find(upstream);
  }
}
