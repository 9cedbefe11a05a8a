import {Isolation, Path} from './reachability.js';
import type {RelayPeer} from './relaychoice.js';
import {ServiceLinks, type ServiceLinksParts} from './servicelinks.js';
import type {UpstreamAddress} from './tunnel.js';

/** Names an upstream and its service. */
export type UpstreamName = Pick<UpstreamAddress, 'id' | 'service'>;

/** Dependencies of [[UpstreamLinks]]. */
export interface UpstreamLinksParts extends Pick<
  ServiceLinksParts,
  'timer' | 'logger' | 'random' | 'answersDirectly'
> {
  /** Ids of the known upstreams of a service. */
  upstreamsOf(service: string): readonly string[];
  /** Called when this instance has found that it reaches none of a service. */
  isolated(service: string): void;
  /** Whether there are other instances; alone, nothing is noted. */
  hasPeers(): boolean;
}

/**
 * The direct links of this instance to the upstreams, by service, since it may
 * be cut off from the upstreams of one service only.
 */
export class UpstreamLinks {
  private readonly services = new Map<string, ServiceLinks>();

  constructor(private readonly parts: UpstreamLinksParts) {}

  /** Whether this instance is cut off from all upstreams of a service. */
  isolationFrom(service: string): Isolation {
    return this.services.get(service)?.isolation ?? Isolation.None;
  }

  pathTo({id, service}: UpstreamName): Path {
    return this.services.get(service)?.pathTo(id) ?? Path.Direct;
  }

  /** Notes bytes that came over a direct connection. */
  noteBytes({service}: UpstreamName): void {
    this.services.get(service)?.noteBytes();
  }

  /** Notes a direct connection that failed without an answer. */
  noteFailure({id, service}: UpstreamName): void {
    if (this.parts.hasPeers()) this.of(service).noteFailure(id);
  }

  /** Notes an upstream that sends nothing on its direct connections. */
  noteSilence({id, service}: UpstreamName): void {
    if (this.parts.hasPeers()) void this.of(service).noteSilence(id);
  }

  /** Notes a direct connection that was opened later than others are. */
  noteConnected({id, service}: UpstreamName): void {
    this.of(service).noteConnected(id);
  }

  /** Notes that a peer has opened a connection to an upstream. */
  notePeerReached({id, service}: UpstreamName, peer: RelayPeer): void {
    this.of(service).notePeerReached(id, peer);
  }

  /** Forgets upstreams that are no longer known. */
  retain(isKnown: (upstream: string) => boolean): void {
    for (const [service, links] of this.services) {
      links.retain(isKnown);
      if (this.parts.upstreamsOf(service).length > 0) continue;
      links.end();
      this.services.delete(service);
    }
  }

  /** Gauges of /metrics, by name. */
  gauges(): Record<string, number> {
    const all = [...this.services.values()];
    const isolated = all.filter(
      ({isolation}) => isolation === Isolation.Confirmed,
    );
    return {
      services_isolated: isolated.length,
      upstreams_relayed: all.reduce(
        (sum, links) => sum + links.relayedCount,
        0,
      ),
    };
  }

  end(): void {
    for (const links of this.services.values()) links.end();
  }

  private of(service: string): ServiceLinks {
    const known = this.services.get(service);
    if (known !== undefined) return known;
    const {timer, logger, random} = this.parts;
    const links = new ServiceLinks({
      service,
      timer,
      logger,
      random,
      upstreams: () => this.parts.upstreamsOf(service),
      answersDirectly: id => this.parts.answersDirectly(id),
      isolated: () => this.parts.isolated(service),
    });
    this.services.set(service, links);
    return links;
  }
}
