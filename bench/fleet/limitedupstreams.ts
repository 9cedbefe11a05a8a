import {pino} from 'pino';
import {
  Endpoints,
  ResponseObserver,
  UpstreamNotices,
  type QueueResult,
} from '../../src/forward/index.js';
import {EntryState, type RegistryEntry} from '../../src/registry/index.js';
import type {GatewayFleet} from '../../src/wiring/gatewayfleet.js';
import {LimitedUpstreams} from '../../src/wiring/limitedupstreams.js';
import {ServiceStates} from '../../src/wiring/servicestates.js';
import type {ManualTimer} from '../../src/timer/index.js';
import type {InstanceTimer} from './instancetimer.js';
import {ZONES} from './places.js';
import type {Place} from './simulatednetwork.js';

const SERVICE = 'limited';
const SLOTS = 1_000;
/** Time from a placement until the upstream has the request, in ms. */
const DELIVERY_MS = 15;
const ANSWER_MS = 40;
const HOST = '127.0.0.1';
const silent = pino({level: 'silent'});
/** Windows in which the users count requests, in ms. */
const WINDOW_MS = 4_000;

/** A request that an upstream got. */
export interface LimitedArrival {
  upstream: number;
  from: string;
  at: number;
  tier: number;
}

/** Upstreams that declare rates, and what they got. */
export class DeclaringUpstreams {
  readonly arrivals: LimitedArrival[] = [];
  /** Requests a second; undefined while an upstream declares none. */
  readonly rates: Array<number | undefined>;
  readonly entries: RegistryEntry[];

  constructor(
    private readonly timer: ManualTimer,
    count: number,
  ) {
    this.rates = Array<undefined>(count).fill(undefined);
    this.entries = this.rates.map((_, index) => ({
      id: `limited-${index}`,
      service: SERVICE,
      host: HOST,
      port: 1 + index,
      zone: ZONES[index % ZONES.length] ?? '',
      softwareVersion: 'v1',
      slots: SLOTS,
      state: EntryState.Ready,
      coldMs: 0,
      startedAt: 1,
      sequence: 1,
    }));
  }

  /** Delivers a request; `answered` gets the declared rate. */
  send(
    arrival: Omit<LimitedArrival, 'at'>,
    answered: (perSecond: number | undefined) => void,
  ): void {
    this.timer.after(DELIVERY_MS, () => {
      this.arrivals.push({...arrival, at: this.timer.now()});
      this.timer.after(ANSWER_MS, () => answered(this.rates[arrival.upstream]));
    });
  }

  /**
   * Most requests that an upstream got in a window within a time, from the
   * instances for which `counts` holds.
   */
  mostInWindow(
    upstream: number,
    [from, to]: [number, number],
    counts: (arrival: LimitedArrival) => boolean = () => true,
  ): number {
    const times = this.arrivals
      .filter(arrival => arrival.upstream === upstream && counts(arrival))
      .map(({at}) => at)
      .filter(at => at >= from && at < to);
    let [most, first] = [0, 0];
    for (const [index, at] of times.entries()) {
      while (at - (times[first] ?? 0) >= WINDOW_MS) first++;
      most = Math.max(most, index - first + 1);
    }
    return most;
  }

  countIn(upstream: number, from: number, to: number): number {
    return this.arrivals.filter(
      arrival =>
        arrival.upstream === upstream && arrival.at >= from && arrival.at < to,
    ).length;
  }
}

/** The requests of one simulated instance, which are placed as by a gateway. */
export class LimitedRequests {
  readonly notices: UpstreamNotices;
  readonly permits: LimitedUpstreams;
  /** Requests that were refused. */
  refused = 0;
  private readonly endpoints = new Endpoints(HOST);
  private readonly observer: ResponseObserver;
  private services?: ServiceStates;

  constructor(
    private readonly place: Place,
    private readonly timer: InstanceTimer,
    private readonly random: () => number,
    private readonly upstreams: DeclaringUpstreams,
    private readonly fleet: () => GatewayFleet,
  ) {
    const {endpoints} = this;
    endpoints.apply(upstreams.entries, undefined);
    this.observer = new ResponseObserver({
      endpoints,
      timer,
      logger: silent,
      random,
      rateChanged: () => this.fleet().permits.wake(),
    });
    this.notices = new UpstreamNotices(endpoints, this.observer, timer);
    this.permits = new LimitedUpstreams({
      timer,
      endpoints,
      observer: this.observer,
      services: () => this.states(),
    });
  }

  /** Places a request that may wait for `patienceMs` ms. */
  async send(tier: number, patienceMs: number): Promise<void> {
    const now = this.timer.now();
    const result = await this.states()
      .of(SERVICE)
      .waitQueue.acquire({
        requestId: '',
        routeName: `tier-${tier}`,
        tier,
        targetMs: patienceMs,
        prefillShare: 1,
        dueAt: now + patienceMs,
        deadlineAt: now + patienceMs,
        signal: new AbortController().signal,
        pauseSensitive: false,
        answerStarted: false,
        isHeld: () => false,
        isRationed: () => false,
        shortestPauseMs: 300,
        triedUpstreams: new Set(),
      });
    this.deliver(result, tier);
  }

  private deliver(result: QueueResult, tier: number): void {
    if (result.type !== 'placed') {
      this.refused++;
      return;
    }
    const {endpoint} = result;
    const upstream = endpoint.entry.port - 1;
    this.upstreams.send({upstream, from: this.place.name, tier}, perSecond =>
      this.timer.run(() => {
        endpoint.ownLoad.endRequest();
        this.observer.observe(endpoint, {
          request: 'r',
          status: 200,
          notRun: false,
          sealed: true,
          isEventStream: false,
          encoded: false,
          leaving: false,
          forwardedHeaders: [],
          ...(perSecond === undefined ? {} : {rate: {type: 'rate', perSecond}}),
        });
      }),
    );
  }

  /** The states of services, which need the gossip of the fleet. */
  private states(): ServiceStates {
    const {place, timer, random, endpoints} = this;
    this.services ??= new ServiceStates({
      timer,
      logger: silent,
      random,
      endpoints,
      gossip: this.fleet().gossip,
      settings: () => ({
        zone: place.zone,
        regions: {[place.zone]: place.region},
        retry: {ratio: 0.2, windowMs: 10_000},
      }),
    });
    return this.services;
  }
}
