import type {Logger} from 'pino';
import {
  DirectDialer,
  type Endpoints,
  type LivenessProber,
} from '../forward/index.js';
import {
  Dialer,
  RelayChoice,
  RelayClient,
  RelayServer,
  UpstreamLinks,
  type RelayPeer,
  type Tunnels,
} from '../relay/index.js';
import type {TunnelHandler} from '../instance/peertunnel.js';
import type {Timer} from '../timer/index.js';
import type {Location} from './roundtrip.js';

/** Dependencies of [[Relays]]. */
export interface RelaysParts {
  host: string;
  /** Where this instance is. */
  location: Location;
  timer: Timer;
  logger: Logger;
  /** Returns a random number in [0, 1). */
  random: () => number;
  /** Created after this, as they open connections by it. */
  endpoints: () => Endpoints;
  probes: () => Pick<LivenessProber, 'answers'>;
  tunnels: Tunnels;
  handleTunnels(handler: TunnelHandler): void;
  /** Addresses of the other instances. */
  peers(): Iterable<RelayPeer>;
  /** Whether this instance is shutting down. */
  isLeaving(): boolean;
}

/** Connections to upstreams, and those that are relayed for other instances. */
export class Relays {
  readonly dialer: Dialer;
  readonly links: UpstreamLinks;
  private readonly client: RelayClient;
  private readonly server: RelayServer;

  constructor(parts: RelaysParts) {
    const {host, location, timer, random, endpoints} = parts;
    const {zone, regions} = location;
    const direct = new DirectDialer(host);
    this.links = new UpstreamLinks({
      timer,
      logger: parts.logger,
      random,
      upstreamsOf: service => endpoints().idsOf(service),
      answersDirectly: async id => {
        const endpoint = endpoints().get(id);
        return endpoint !== undefined && parts.probes().answers(endpoint);
      },
      isolated: service => endpoints().discardLinks(service),
      hasPeers: () => [...parts.peers()].length > 0,
    });
    this.client = new RelayClient({
      tunnels: parts.tunnels,
      choice: new RelayChoice(other => regions[other], zone, random),
      peers: () => parts.peers(),
      timer,
    });
    const {links, client: relays} = this;
    this.dialer = new Dialer({direct, relays, links, timer});
    this.server = new RelayServer({
      dialer: direct,
      links,
      upstreamAt: (address, port) => endpoints().addressed(address, port),
      timer,
      isLeaving: () => parts.isLeaving(),
    });
    parts.handleTunnels((address, port) => this.server.open(address, port));
  }

  /** Whether no connection is relayed for another instance. */
  get isIdle(): boolean {
    return this.server.active === 0;
  }

  /** Forgets upstreams that are no longer known. */
  retain(isKnown: (upstream: string) => boolean): void {
    this.links.retain(isKnown);
    this.client.retain(isKnown);
  }

  /** Gauges and counters of /metrics, by name. */
  gauges(): Record<string, number> {
    return {...this.links.gauges(), ...this.server.gauges()};
  }

  end(): void {
    this.links.end();
  }
}
