import {RequestKind} from '../quarantine/index.js';
import {
  EntryState,
  isSameProcess,
  type RegistryEntry,
} from '../registry/index.js';
import type {UpstreamAddress, UpstreamDialer} from '../relay/index.js';
import type {RoutingTable} from '../route/index.js';
import type {Timer} from '../timer/index.js';
import type {
  LeavingUpstream,
  SentPrompt,
  UpstreamLoad,
  UpstreamProcess,
} from '../fleet/index.js';
import {Endpoint} from './endpoint.js';
import {LeaveNotices} from './leavenotices.js';
import type {Pause} from './pause.js';
import {ProcessMap} from './processmap.js';
import type {RateLimit} from './ratelimit.js';

/** The known upstreams, indexed by id and by service. */
export class Endpoints {
  private readonly byId = new Map<string, Endpoint>();
  private readyByService = new Map<string, Endpoint[]>();
  /** Ready by their entries, but leaving by their own notice. */
  private leavingByService = new Map<string, Endpoint[]>();
  private readonly leaveNotices = new LeaveNotices();
  /** Pauses asked for, kept beyond the removal of an entry. */
  private readonly pauses = new ProcessMap<Pause>();
  /** Rates declared, kept beyond the removal of an entry. */
  private readonly limits = new ProcessMap<RateLimit>();

  /** Without `dialer`, connections to upstreams are direct. */
  constructor(
    private readonly localAddress: string,
    private readonly dialer?: UpstreamDialer,
    private readonly timer?: Timer,
  ) {}

  /**
   * Upstreams of a service that accept new requests. If there are none, those
   * that gave notice less than `drainMs` ms before `now`, in monotonic ms.
   */
  readyOf(service: string, now: number, drainMs: number): readonly Endpoint[] {
    const ready = this.readyByService.get(service);
    if (ready !== undefined) return ready;
    const leaving = this.leavingByService.get(service) ?? [];
    return leaving.filter(({entry}) =>
      this.leaveNotices.isLastResort(entry, now, drainMs),
    );
  }

  /** Number of upstreams that accept new requests with or without prompts. */
  countReady(kind: RequestKind): number {
    const all = [...this.readyByService.values()].flat();
    const engines = all.filter(({promptCache}) => promptCache !== undefined);
    switch (kind) {
      case RequestKind.Prompt:
        return engines.length;
      case RequestKind.Plain:
        return all.length - engines.length;
    }
  }

  /**
   * Records that an upstream announced that it leaves; returns whether this is
   * its first notice.
   */
  noteLeaving({entry}: Endpoint, now: number): boolean {
    const isFirst = this.leaveNotices.add(entry, now);
    if (isFirst) this.rebuildIndex();
    return isFirst;
  }

  /** Keeps the pause of an upstream if its entry is removed and listed again. */
  keepPause({entry, pause}: Endpoint): void {
    this.pauses.set(entry, pause);
  }

  /** Keeps the declared rate of an upstream in the same way. */
  keepLimit({entry, limit}: Endpoint): void {
    this.limits.set(entry, limit);
  }

  /** Upstreams that gave notice while their entries are ready, for gossip. */
  leaving(): LeavingUpstream[] {
    const all = [...this.leavingByService.values()].flat();
    return all.flatMap(({entry: {id, startedAt}}): LeavingUpstream[] =>
      startedAt === undefined ? [] : [[id, startedAt]],
    );
  }

  /**
   * The upstream of this id whose process began at `startedAt`, in Unix ms; 0 if
   * it doesn't report that.
   */
  find([id, startedAt]: UpstreamProcess): Endpoint | undefined {
    const endpoint = this.byId.get(id);
    if (endpoint === undefined) return undefined;
    return (endpoint.entry.startedAt ?? 0) === startedAt ? endpoint : undefined;
  }

  entryOf(id: string): RegistryEntry | undefined {
    return this.byId.get(id)?.entry;
  }

  /** Number of known upstreams that gave notice that they leave. */
  countLeaving(): number {
    const all = [...this.byId.values()];
    return all.filter(({entry}) => this.leaveNotices.covers(entry)).length;
  }

  /** Ids of all known upstreams of a service. */
  idsOf(service: string): string[] {
    return [...this.byId.values()]
      .filter(({entry}) => entry.service === service)
      .map(({id}) => id);
  }

  /** The known upstream of an id. */
  get(id: string): Endpoint | undefined {
    return this.byId.get(id);
  }

  /** The known upstream that listens at an address. */
  addressed(host: string, port: number): UpstreamAddress | undefined {
    for (const {entry} of this.byId.values()) {
      if (entry.host === host && entry.port === port) return entry;
    }
    return undefined;
  }

  /**
   * Drops what own connections showed of the upstreams of a service: idle
   * connections, and failures.
   */
  discardLinks(service: string): void {
    for (const {entry, connections, health} of this.byId.values()) {
      if (entry.service !== service) continue;
      connections.closeIdle();
      health.clear();
    }
  }

  /** All known upstreams, whatever their state. */
  all(): Iterable<Endpoint> {
    return this.byId.values();
  }

  /** Load of this instance on each upstream, to be sent to the fleet. */
  loads(now: number): UpstreamLoad[] {
    const loads: UpstreamLoad[] = [];
    for (const {id, ownLoad} of this.byId.values()) {
      const {inflight, unread, recent} = ownLoad.view(now);
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

  /** Records a prompt that another instance sent to an upstream. */
  recordPrompt(upstream: string, parts: SentPrompt['parts']): void {
    const added = parts.map(([id, tokens]) => ({id, tokens}));
    this.byId.get(upstream)?.promptCache?.add(added);
  }

  /** Number of connections opened to the known upstreams. */
  openedConnections(): number {
    let sum = 0;
    for (const {connections} of this.byId.values()) sum += connections.opened;
    return sum;
  }

  /** Updates the upstreams to match the registered entries. */
  apply(
    entries: Iterable<RegistryEntry>,
    table: RoutingTable | undefined,
  ): void {
    const present = new Set<string>();
    for (const entry of entries) {
      present.add(entry.id);
      this.upsert(entry);
      const engine = table?.service(entry.service)?.engine;
      this.byId.get(entry.id)?.configure(engine);
    }
    for (const [id, endpoint] of this.byId) {
      if (present.has(id)) continue;
      endpoint.retire();
      this.leaveNotices.entryRemoved(endpoint.entry);
      this.pauses.entryRemoved(endpoint.entry);
      this.limits.entryRemoved(endpoint.entry);
      this.byId.delete(id);
    }
    this.rebuildIndex();
  }

  private upsert(entry: RegistryEntry): void {
    const known = this.byId.get(entry.id);
    if (known !== undefined && isSameProcess(known.entry, entry)) {
      known.entry = entry;
      return;
    }
    known?.retire();
    const pause = this.pauses.get(entry);
    const limit = this.limits.get(entry);
    this.byId.set(
      entry.id,
      new Endpoint(
        entry,
        this.localAddress,
        pause,
        limit,
        this.dialer,
        this.timer,
      ),
    );
  }

  private rebuildIndex(): void {
    this.readyByService = new Map();
    this.leavingByService = new Map();
    for (const endpoint of this.byId.values()) {
      const {service, state} = endpoint.entry;
      if (state !== EntryState.Ready) continue;
      const index = this.leaveNotices.covers(endpoint.entry)
        ? this.leavingByService
        : this.readyByService;
      const list = index.get(service) ?? [];
      list.push(endpoint);
      index.set(service, list);
    }
  }
}

/** Tokens by tier as pairs of tier and rounded tokens, for gossip. */
function rounded(
  tokensOf: ReadonlyMap<number, number>,
): Array<[number, number]> {
  return [...tokensOf].map(([tier, tokens]) => [tier, Math.round(tokens)]);
}
