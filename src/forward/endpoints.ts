import {
  EntryState,
  isSameProcess,
  type RegistryEntry,
} from '../registry/index.js';
import type {RoutingTable} from '../route/index.js';
import type {UpstreamLoad} from '../fleet/index.js';
import {Endpoint} from './endpoint.js';
import type {PromptPart} from './protocol.js';

/** The upstreams that requests may be sent to, by service. */
export class Endpoints {
  private readonly known = new Map<string, Endpoint>();
  private services = new Map<string, Endpoint[]>();

  constructor(private readonly localAddress: string) {}

  /** Upstreams of a service that take new work. */
  readyOf(service: string): readonly Endpoint[] {
    return this.services.get(service) ?? [];
  }

  /** Every upstream that is known. */
  all(): Iterable<Endpoint> {
    return this.known.values();
  }

  /** The load that this instance has put on upstreams, for the others. */
  loads(now: number): UpstreamLoad[] {
    const loads: UpstreamLoad[] = [];
    for (const {id, ownLoad: own} of this.known.values()) {
      const {inflight, unread, recent} = own.view(now);
      if (inflight === 0 && recent.size === 0) continue;
      loads.push({
        upstream: id,
        inflight,
        unread: rounded(unread),
        recent: rounded(recent),
      });
    }
    return loads;
  }

  /** Takes in a prompt that another instance sent to an upstream. */
  recordPrompt(upstream: string, parts: readonly PromptPart[]): void {
    this.known.get(upstream)?.promptCache?.add(parts);
  }

  /** Connections that were opened to the upstreams that are known. */
  openedConnections(): number {
    let sum = 0;
    for (const {connections} of this.known.values()) sum += connections.opened;
    return sum;
  }

  /** Follows the registered entries. */
  apply(
    entries: Iterable<RegistryEntry>,
    table: RoutingTable | undefined,
  ): void {
    const present = new Set<string>();
    for (const entry of entries) {
      present.add(entry.id);
      this.take(entry);
      const engine = table?.service(entry.service)?.engine;
      this.known.get(entry.id)?.configure(engine);
    }
    for (const [id, endpoint] of this.known) {
      if (present.has(id)) continue;
      endpoint.retire();
      this.known.delete(id);
    }
    this.index();
  }

  private take(entry: RegistryEntry): void {
    const known = this.known.get(entry.id);
    if (known !== undefined && isSameProcess(known.entry, entry)) {
      known.entry = entry;
      return;
    }
    known?.retire();
    this.known.set(entry.id, new Endpoint(entry, this.localAddress));
  }

  private index(): void {
    this.services = new Map();
    for (const endpoint of this.known.values()) {
      const {service, state} = endpoint.entry;
      if (state !== EntryState.Ready) continue;
      const list = this.services.get(service) ?? [];
      list.push(endpoint);
      this.services.set(service, list);
    }
  }
}

function rounded(
  tokensOf: ReadonlyMap<number, number>,
): Array<[number, number]> {
  return [...tokensOf].map(([tier, tokens]) => [tier, Math.round(tokens)]);
}
