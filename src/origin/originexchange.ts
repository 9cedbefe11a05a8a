import type {Datagrams, InstanceAddress, Peers} from '../fleet/index.js';
import type {Timer} from '../timer/index.js';
import {holdersToAsk, isHolder} from './holders.js';
import {MissedTells} from './missedtells.js';
import {
  concludeWithoutRecord,
  UnknownReason,
  type LookupBasis,
  type OriginLookup,
  type StreamOrigin,
} from './origin.js';
import {OriginLog, type OriginRecord} from './originlog.js';
import {OriginTeller} from './originteller.js';
import {
  FIND_METHOD,
  findMessageSchema,
  TELL_METHOD,
  tellMessageSchema,
  peerAnswerSchema,
  type FindMessage,
  type PeerAnswer,
} from './originmessage.js';
import {
  VersionMix,
  type SoftwareVersions,
  type VersionedUpstream,
} from './softwareversions.js';

/**
 * Time to wait for the answer of a peer, and again after the question was
 * repeated, in ms.
 */
const ANSWER_TIMEOUTS_MS = [80, 220];
/** Time after which a lookup counts as interrupted by a stall, in ms. */
const MAX_LOOKUP_MS = 1_000;

/** What was found of a stream. */
export interface FoundOrigin {
  lookup: OriginLookup;
  /** Present if other instances were asked and none had a record of it. */
  basis?: LookupBasis;
}

/** Tells and finds at which software version streams began. */
export interface StreamOrigins {
  /** Whether a service has, or had lately, several software versions. */
  isMixed(service: string): boolean;
  /** Notes where a stream began that may be taken up until `expiresAt`. */
  note(record: OriginRecord): void;
  /** Finds the origin of a stream that an upstream of `services` began. */
  find(key: string, services: readonly string[]): Promise<FoundOrigin>;
}

/** Dependencies of [[OriginExchange]]. */
export interface OriginExchangeParts {
  /** Name of this instance. */
  name: string;
  /** Availability zone of this instance. */
  zone: string;
  peers: Peers;
  datagrams: Datagrams;
  timer: Timer;
  versions: SoftwareVersions;
  /** Whether the entries of the upstreams are current. */
  areCurrent(this: void): boolean;
  /** Whether those entries were read since, in monotonic ms. */
  hasReadSince(this: void, at: number): boolean;
}

/**
 * Shares where streams began while a service has several software versions.
 * An instance tells the holders of a stream at its first event, and those of all
 * its streams when a second version appears; one that takes up a stream and
 * doesn't know it asks the holders. A stream that none of them was told of began
 * before the second version appeared, unless all of them started later.
 */
export class OriginExchange implements StreamOrigins {
  /** Streams that other instances told of. */
  private readonly log: OriginLog;
  /** Streams that this instance passes on, or did. */
  private readonly own: OriginLog;
  private readonly missedTells: MissedTells;
  private readonly teller: OriginTeller;
  private queryCount = 0;
  private readonly unknownCounts = new Map<UnknownReason, number>();

  constructor(private readonly parts: OriginExchangeParts) {
    const {datagrams, timer} = parts;
    this.log = new OriginLog(timer);
    this.own = new OriginLog(timer);
    this.teller = new OriginTeller(parts);
    this.missedTells = new MissedTells({
      timer,
      hasReadSince: parts.hasReadSince,
      mixedServices: () => this.mixedServices(),
    });
    datagrams.handle(TELL_METHOD, params => this.receiveOrigins(params));
    datagrams.handle(FIND_METHOD, params => this.answer(params));
  }

  /** Takes all registered upstreams. */
  applyUpstreams(upstreams: Iterable<VersionedUpstream>): void {
    const {versions} = this.parts;
    this.missedTells.settle();
    const mixed = new Set(this.mixedServices());
    versions.apply(upstreams);
    for (const service of versions.services()) {
      if (mixed.has(service) || !this.isMixed(service)) continue;
      this.teller.tell(this.own.ofService(service));
    }
  }

  isMixed(service: string): boolean {
    return this.parts.versions.mixOf(service) === VersionMix.Mixed;
  }

  note(record: OriginRecord): void {
    this.own.add(record);
    switch (this.parts.versions.mixOf(record.origin.service)) {
      case VersionMix.Mixed:
      // Others may know of a version that left before this instance started.
      case VersionMix.Unread:
      case VersionMix.Unrecorded:
        this.teller.tell([record]);
        return;
      case VersionMix.Sole:
      case VersionMix.Unsettled:
      case VersionMix.Outdated:
        return;
    }
  }

  async find(key: string, services: readonly string[]): Promise<FoundOrigin> {
    const origin = this.known(key);
    if (origin !== undefined) return {lookup: {type: 'known', origin}};
    const mix = this.mixOfAll(services);
    if (mix === VersionMix.Sole) return {lookup: {type: 'any'}};
    const found = await this.ask(key, services);
    if (found.lookup.type === 'unknown') {
      const {reason} = found.lookup;
      const count = this.unknownCounts.get(reason) ?? 0;
      this.unknownCounts.set(reason, count + 1);
    }
    return found;
  }

  /** Gauges of /metrics, by name. */
  gauges(): Record<string, number> {
    const counts = Object.values(UnknownReason).map(reason => {
      const count = this.unknownCounts.get(reason) ?? 0;
      return [`stream_origins_unknown_${reason}_total`, count] as const;
    });
    return {
      stream_origins: this.own.size + this.log.size,
      stream_origin_queries_total: this.queryCount,
      stream_origins_unknown_total: counts.reduce(
        (sum, [, count]) => sum + count,
        0,
      ),
      ...Object.fromEntries(counts),
    };
  }

  /** Notes that messages of peers may have been lost, as by a suspension. */
  noteStall(): void {
    this.missedTells.noteStall();
  }

  /** Ends the telling. */
  end(): void {
    this.teller.end();
  }

  private mixedServices(): string[] {
    const services = [...this.parts.versions.services()];
    return services.filter(service => this.isMixed(service));
  }

  private known(key: string): StreamOrigin | undefined {
    return this.own.get(key) ?? this.log.get(key);
  }

  private receiveOrigins(params: unknown): void {
    const {data} = tellMessageSchema.safeParse(params);
    const now = this.parts.timer.now();
    for (const {streams, ...origin} of data?.groups ?? []) {
      for (const [key, leftMs] of streams) {
        this.log.add({key, origin, expiresAt: now + leftMs});
      }
    }
  }

  /** Asks the holders of a stream; the first that knows it decides. */
  private async ask(
    key: string,
    services: readonly string[],
  ): Promise<FoundOrigin> {
    const {peers, timer} = this.parts;
    this.queryCount++;
    const askedAt = {now: timer.now(), wall: timer.wallNow()};
    const message: FindMessage = {key, services: [...services]};
    const answers = holdersToAsk(key, peers, this.parts)
      .flatMap(name => peers.addressOf(name) ?? [])
      .map(address => this.askPeer(address, message));
    // What was told meanwhile counts, too.
    const origin = (await firstKnown(answers)) ?? this.known(key);
    if (origin !== undefined) return {lookup: {type: 'known', origin}};
    const unknowing = (await Promise.all(answers)).flatMap(answer =>
      answer?.type === 'unknown' ? answer : [],
    );
    // A version may have joined while the peers were asked.
    const mix = this.mixOfAll(services);
    // Nobody else can have begun a stream of a lone instance.
    const isLone = peers.size === 0 && mix === VersionMix.Outdated;
    const before = [
      this.originBefore(key, services),
      ...unknowing.map(answer => answer.before),
    ];
    const mixes = unknowing.map(({mix}) => mix);
    const basis = {
      ...this.versionBasis(services),
      mix,
      asked: answers.length,
      answers: mixes,
    };
    const elapsedMs = Math.max(
      timer.now() - askedAt.now,
      timer.wallNow() - askedAt.wall,
    );
    // What was answered, and what is known here, may be of before a stall.
    if (elapsedMs > MAX_LOOKUP_MS) {
      return {
        lookup: {type: 'unknown', reason: UnknownReason.Stalled},
        basis,
      };
    }
    const lookup = concludeWithoutRecord({
      own: isLone ? VersionMix.Unsettled : mix,
      others: mixes,
      before: before.filter(origin => origin !== undefined),
      hasStalled: services.some(name => this.missedTells.mayConcern(name)),
    });
    return {lookup, basis};
  }

  private versionBasis(
    services: readonly string[],
  ): Pick<LookupBasis, 'softwareVersions' | 'recorded' | 'stalledMs'> {
    const {versions} = this.parts;
    const recorded = services.map(service => versions.recordedOf(service));
    const stalledMs = this.missedTells.ageMs();
    return {
      softwareVersions: services.flatMap(service => [
        ...versions.versionsOf(service),
      ]),
      ...(recorded.includes(undefined)
        ? {}
        : {recorded: recorded.flatMap(names => names ?? [])}),
      ...(Number.isFinite(stalledMs) ? {stalledMs: Math.round(stalledMs)} : {}),
    };
  }

  private async askPeer(
    address: InstanceAddress,
    message: FindMessage,
  ): Promise<PeerAnswer | undefined> {
    const {datagrams} = this.parts;
    for (const timeoutMs of ANSWER_TIMEOUTS_MS) {
      const result = await datagrams.call(
        address,
        FIND_METHOD,
        message,
        timeoutMs,
      );
      if (result.isErr()) continue;
      return peerAnswerSchema.safeParse(result.value).data;
    }
    return undefined;
  }

  private mixOfAll(services: readonly string[]): VersionMix {
    const {versions, areCurrent} = this.parts;
    const mix = versions.mixOfAll(services);
    switch (mix) {
      case VersionMix.Mixed:
      case VersionMix.Unread:
      case VersionMix.Unrecorded:
        return mix;
      case VersionMix.Sole:
      case VersionMix.Unsettled:
      case VersionMix.Outdated:
        return areCurrent() ? mix : VersionMix.Outdated;
    }
  }

  /**
   * Where a stream without record began if it was before versions were mixed;
   * undefined if this instance may not have been told of a later one.
   */
  private originBefore(
    key: string,
    services: readonly string[],
  ): StreamOrigin | undefined {
    const {versions, peers} = this.parts;
    const [service, ...others] = services;
    if (service === undefined || others.length > 0) return undefined;
    if (!this.isMixed(service)) return undefined;
    if (this.missedTells.mayConcern(service)) return undefined;
    if (!isHolder(key, peers, this.parts)) return undefined;
    const softwareVersion = versions.versionBefore(service);
    if (softwareVersion === undefined) return undefined;
    return {service, softwareVersion};
  }

  private answer(params: unknown): PeerAnswer | undefined {
    const {data} = findMessageSchema.safeParse(params);
    if (data === undefined) return undefined;
    const origin = this.known(data.key);
    if (origin !== undefined) return {type: 'known', origin};
    const mix = this.mixOfAll(data.services);
    switch (mix) {
      case VersionMix.Unread:
      case VersionMix.Unrecorded:
        return undefined;
      case VersionMix.Outdated:
        // Earlier builds know no other word for it.
        return {type: 'unknown', mix: VersionMix.Unsettled};
      case VersionMix.Sole:
      case VersionMix.Unsettled:
      case VersionMix.Mixed: {
        const before = this.originBefore(data.key, data.services);
        return {type: 'unknown', mix, ...(before && {before})};
      }
    }
  }
}

/** The first known origin; undefined if no peer knows it. */
function firstKnown(
  answers: ReadonlyArray<Promise<PeerAnswer | undefined>>,
): Promise<StreamOrigin | undefined> {
  return new Promise(resolve => {
    for (const answer of answers) {
      void answer.then(told => {
        if (told?.type === 'known') resolve(told.origin);
      });
    }
    void Promise.all(answers).then(() => resolve(undefined));
  });
}
