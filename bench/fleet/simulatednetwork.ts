import {err, ok, type Result} from 'neverthrow';
import type {InstanceAddress} from '../../src/fleet/index.js';
import type {ManualTimer} from '../../src/timer/index.js';
import type {FleetTransport} from '../../src/wiring/fleettransport.js';
import type {InstanceTimer} from './instancetimer.js';
import type {SimulatedLinks} from './simulatedlinks.js';

/** Bytes of a datagram beside its parameters: headers, code and envelope. */
const DATAGRAM_OVERHEAD_BYTES = 100;
/** Time that a datagram may wait for a link before it is dropped, in ms. */
const MAX_DATAGRAM_WAIT_MS = 500;
/** One-way delay within a zone, between zones, and between regions, in ms. */
const DELAY_MS = {zone: 0.3, region: 1.2, world: 13};

/** Where an instance is in the simulated network. */
export interface Place {
  name: string;
  zone: string;
  region: string;
}

interface Station {
  place: Place;
  timer: InstanceTimer;
  datagramHandlers: Map<string, (params: unknown) => unknown>;
  callHandlers: Map<string, (params: unknown) => Promise<unknown>>;
}

interface Question {
  from: Station;
  to: Station | undefined;
  params: unknown;
  timeoutMs: number;
  /** Time that a message may wait for a link before it is dropped, in ms. */
  maxWaitMs: number;
}

/** Messages that were sent and their bytes. */
export interface Traffic {
  datagrams: number;
  calls: number;
  bytes: number;
  regionBytes: number;
}

/** Carries messages between simulated instances; their host is their name. */
export class SimulatedNetwork {
  readonly traffic: Traffic = {
    datagrams: 0,
    calls: 0,
    bytes: 0,
    regionBytes: 0,
  };
  /** Whether nothing arrives from another region. */
  isCut = false;
  private readonly stations = new Map<string, Station>();

  constructor(
    private readonly timer: ManualTimer,
    private readonly random: () => number,
    /** Whether a message is lost on the way. */
    private readonly isLost: (from: Place, to: Place) => boolean,
    /** Without it, messages are as fast as the delay of their way. */
    private readonly links?: SimulatedLinks,
  ) {}

  /** Connects an instance. */
  connect(place: Place, timer: InstanceTimer): FleetTransport {
    const station: Station = {
      place,
      timer,
      datagramHandlers: new Map(),
      callHandlers: new Map(),
    };
    this.stations.set(place.name, station);
    return {
      datagrams: {
        broadcast: (peers, method, params) =>
          this.broadcast(station, peers, method, params),
        call: (peer, method, params, timeoutMs) =>
          this.ask(station, peer, method, params, timeoutMs),
        handle: (method, handler) => {
          station.datagramHandlers.set(method, handler);
        },
      },
      client: {
        call: (peer, method, params, timeoutMs) =>
          this.call(station, peer, method, params, timeoutMs),
      },
      server: {
        handle: (method, handler) => {
          station.callHandlers.set(method, handler);
        },
      },
      openPort: () => Promise.resolve(1),
      close: () => Promise.resolve(),
    };
  }

  private broadcast(
    from: Station,
    peers: Iterable<InstanceAddress>,
    method: string,
    params: unknown,
  ): void {
    const text = JSON.stringify(params);
    for (const {host} of peers) {
      const to = this.stations.get(host);
      this.traffic.datagrams++;
      this.deliver(
        from,
        to,
        text,
        received => {
          to?.datagramHandlers.get(method)?.(received);
        },
        MAX_DATAGRAM_WAIT_MS,
      );
    }
  }

  /** Sends a datagram whose handler's result comes back in another. */
  private ask(
    from: Station,
    {host}: InstanceAddress,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, unknown>> {
    const to = this.stations.get(host);
    const handler = to?.datagramHandlers.get(method);
    this.traffic.datagrams += handler === undefined ? 1 : 2;
    const answer = (received: unknown) =>
      Promise.resolve(handler?.(received) ?? null);
    return this.exchange(
      {from, to, params, timeoutMs, maxWaitMs: MAX_DATAGRAM_WAIT_MS},
      handler === undefined ? undefined : answer,
    );
  }

  private call(
    from: Station,
    {host}: InstanceAddress,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, unknown>> {
    const to = this.stations.get(host);
    this.traffic.calls++;
    return this.exchange(
      {from, to, params, timeoutMs, maxWaitMs: Infinity},
      to?.callHandlers.get(method),
    );
  }

  /** Delivers a question, and what `answer` returns; fails after the time-out. */
  private exchange(
    {from, to, params, timeoutMs, maxWaitMs}: Question,
    answer: ((params: unknown) => Promise<unknown>) | undefined,
  ): Promise<Result<unknown, unknown>> {
    return new Promise(resolve => {
      from.timer.after(timeoutMs, () => resolve(err({type: 'peerTimeout'})));
      const receive = (received: unknown) => {
        if (to === undefined || answer === undefined) return;
        void answer(received).then(result => {
          const text = JSON.stringify(result);
          this.deliver(to, from, text, value => resolve(ok(value)), maxWaitMs);
        });
      };
      this.deliver(from, to, JSON.stringify(params), receive, maxWaitMs);
    });
  }

  private deliver(
    from: Station,
    to: Station | undefined,
    text: string,
    receive: (params: unknown) => void,
    maxWaitMs = Infinity,
  ): void {
    const bytes = text.length + DATAGRAM_OVERHEAD_BYTES;
    this.traffic.bytes += bytes;
    if (to === undefined) return;
    if (from.place.region !== to.place.region) {
      this.traffic.regionBytes += bytes;
    }
    if (this.isCut && from.place.region !== to.place.region) return;
    if (this.isLost(from.place, to.place)) return;
    const now = this.timer.now();
    const waitMs =
      (this.links?.transmit(from.place, to.place, bytes, now) ?? now) - now;
    if (waitMs > maxWaitMs) return;
    const delayMs = delayBetween(from.place, to.place) * (1 + this.random());
    this.timer.after(waitMs + delayMs, () => {
      to.timer.run(() => receive(JSON.parse(text) as unknown));
    });
  }
}

function delayBetween(a: Place, b: Place): number {
  if (a.zone === b.zone) return DELAY_MS.zone;
  return a.region === b.region ? DELAY_MS.region : DELAY_MS.world;
}
