import type {Logger} from 'pino';
import {
  announce,
  Gossip,
  HoldRecords,
  isHoldRecord,
  ownsKey,
  Peers,
  PermitExchange,
  RecordExchange,
  type EvidenceLog,
  type InstanceAddress,
  type NoticeBoard,
  type PermitUpstreams,
  type SentPrompt,
  type UpstreamLoad,
} from '../fleet/index.js';
import {
  isVersionRecord,
  OriginExchange,
  SoftwareVersions,
  VersionRecords,
  type VersionedUpstream,
} from '../origin/index.js';
import {
  Follower,
  StoreEpoch,
  Topic,
  type Feed,
  type FollowerListener,
  type KeyedRecord,
  type ReadTiming,
} from '../registry/index.js';
import {
  Component,
  componentLogger,
  type OutputLogger,
} from '../telemetry/index.js';
import type {Subscription, Timer} from '../timer/index.js';
import type {FleetTransport} from './fleettransport.js';
import {isCurrent} from './untilcurrent.js';

/**
 * When each topic is read. Upstreams write so often that a waiting read would
 * return at once, so they are read at intervals: a fifth of the time after which
 * a leaving upstream must not receive new requests. The wait of the others
 * bounds how long a dead connection stays in use.
 */
const READ_TIMING: Record<Topic, ReadTiming> = {
  [Topic.Configuration]: {readPauseMs: 100, waitMs: 1_000},
  [Topic.Upstreams]: {readPauseMs: 500, waitMs: 0},
  [Topic.Instances]: {readPauseMs: 1_000, waitMs: 8_000},
};

/** Peers that an instance asks for what they know when it starts. */
const CONSULTED_PEERS = 3;
/** Time for which an instance that knows the upstreams waits for holds, in ms. */
const HOLDS_WAIT_MS = 3_000;

/** Dependencies of [[GatewayFleet]]. */
export interface GatewayFleetParts {
  /** Name of this instance. */
  instance: string;
  /** Address at which peers reach this instance. */
  host: string;
  /** Availability zone of this instance. */
  zone: string;
  /** Capacity of this instance's own link, in bytes a second. */
  linkBytesPerSecond: number;
  feed: Feed;
  transport: FleetTransport;
  timer: Timer;
  /** Returns a random number in [0, 1). */
  random: () => number;
  output: OutputLogger;
  configurations: FollowerListener;
  upstreams: FollowerListener;
  /** Load from this instance on each upstream, without idle ones. */
  loads(): UpstreamLoad[];
  /** For each service, the most urgent tier with a long-waiting request. */
  waiting(): Array<[string, number]>;
  /** What upstreams said of themselves in responses. */
  notices: NoticeBoard;
  /** Upstreams that declare a rate, and what may be sent to them. */
  permits: PermitUpstreams;
  /** Records a prompt that another instance sent to an upstream. */
  recordPrompt(prompt: SentPrompt): void;
  /** Crashes and prompt parts that are known and decided on here. */
  evidence: EvidenceLog;
  /** Whether the whole system starts for the first time. */
  isFirstStart: boolean;
  /** Whether this instance is shutting down. */
  isLeaving(): boolean;
}

/**
 * The components by which a gateway shares state with the other instances: the
 * followers of the store's topics and the gossip.
 */
export class GatewayFleet {
  readonly configurations: Follower;
  readonly upstreams: Follower;
  readonly gossip: Gossip;
  readonly permits: PermitExchange;
  readonly origins: OriginExchange;
  readonly epochs: StoreEpoch;
  private readonly instances: Follower;
  private readonly records: RecordExchange;
  private readonly holds: HoldRecords;
  private readonly versions: SoftwareVersions;
  private readonly versionRecords: VersionRecords;
  private hasConsulted = false;
  /** When the upstreams were first known, in monotonic ms. */
  private upstreamsKnownAt = Infinity;
  private hasReadHolds = false;
  private readonly peers: Peers;
  private readonly logger: Logger;

  constructor(private readonly parts: GatewayFleetParts) {
    const {instance, zone, timer, output, transport} = parts;
    const random = () => parts.random();
    this.logger = componentLogger(output.logger, Component.Member);
    this.epochs = new StoreEpoch(
      componentLogger(output.logger, Component.Platform),
      timer,
    );
    this.peers = new Peers(instance, zone, this.logger, random);
    this.configurations = this.follow(
      Topic.Configuration,
      parts.configurations,
    );
    this.upstreams = this.follow(Topic.Upstreams, {
      replaced: (records, outdated) => {
        this.upstreamsKnownAt = Math.min(this.upstreamsKnownAt, timer.now());
        return parts.upstreams.replaced(records, outdated);
      },
      added: records => parts.upstreams.added(records),
      known: () => parts.upstreams.known(),
    });
    this.instances = this.follow(Topic.Instances, {
      replaced: records => {
        const changes = this.applyInstances(records, 'replace');
        this.hasReadHolds = true;
        void this.consultPeers();
        return changes;
      },
      added: records => this.applyInstances(records, 'add'),
      known: () => [
        ...this.peers.known(),
        ...this.holds.known(),
        ...this.versionRecords.known(),
      ],
    });
    const writing = {
      feed: parts.feed,
      epochs: this.epochs,
      timer,
      logger: this.logger,
      random,
      rank: () => this.peers.rankOf(Topic.Instances, instance),
      isKnown: () => this.instances.replica.isStarted,
    };
    this.holds = new HoldRecords({...writing, log: parts.evidence});
    this.versions = new SoftwareVersions(timer, parts.isFirstStart);
    this.versionRecords = new VersionRecords({
      ...writing,
      versions: this.versions,
    });
    this.records = new RecordExchange({
      epochs: this.epochs,
      replicas: [
        this.configurations.replica,
        this.upstreams.replica,
        this.instances.replica,
      ],
      client: transport.client,
      server: transport.server,
      timer,
      linkBytesPerSecond: parts.linkBytesPerSecond,
      logger: this.logger,
    });
    this.gossip = new Gossip({
      name: instance,
      zone,
      datagrams: transport.datagrams,
      peers: this.peers,
      records: this.records,
      timer,
      logger: this.logger,
      random,
      loads: () => parts.loads(),
      waiting: () => parts.waiting(),
      notices: parts.notices,
      recordPrompt: prompt => parts.recordPrompt(prompt),
      evidence: {
        learn: evidence => {
          const isNews = parts.evidence.learn(evidence);
          if (isNews && evidence.type === 'hold') this.holds.writeSoon();
          return isNews;
        },
        subscribe: listener => parts.evidence.subscribe(listener),
        holds: () => parts.evidence.holds(),
      },
    });
    this.permits = new PermitExchange({
      name: instance,
      zone,
      peers: this.peers,
      datagrams: transport.datagrams,
      timer,
      upstreams: parts.permits,
      heardSince: () => this.gossip.peerLoads.heardSince(timer.now()),
    });
    this.origins = new OriginExchange({
      name: instance,
      zone,
      peers: this.peers,
      datagrams: transport.datagrams,
      timer,
      versions: this.versions,
      areCurrent: () => isCurrent(this.upstreams.ageMs()),
      hasReadSince: at => this.upstreams.isReadSince(at),
    });
  }

  /** Starts following the topics and exchanging messages with the peers. */
  start(): Subscription[] {
    const {instance: name, host, zone, feed, timer, transport} = this.parts;
    void announce({
      name,
      address: {host, zone},
      openPort: () => transport.openPort(),
      feed,
      epochs: this.epochs,
      timer,
      logger: this.logger,
      random: () => this.parts.random(),
      isLeaving: () => this.parts.isLeaving(),
    });
    return [
      this.configurations.start(),
      this.upstreams.start(),
      this.instances.start(),
      this.gossip.start(),
      {end: () => this.holds.end()},
      this.versionRecords.start(),
      {end: () => this.permits.end()},
      {end: () => this.origins.end()},
    ];
  }

  /**
   * Whether the holds of the store are in force here, or the time to wait for
   * them beyond the first list of upstreams is over.
   */
  get mayForward(): boolean {
    const waitedMs = this.parts.timer.now() - this.upstreamsKnownAt;
    return this.hasReadHolds || waitedMs >= HOLDS_WAIT_MS;
  }

  /** Whether this instance is the one that tries a held prompt part. */
  ownsTrial(part: string): boolean {
    return this.owns(part);
  }

  /** Whether a turn to forward rationed requests is that of this instance. */
  ownsTurn(turn: number): boolean {
    return this.owns(`turn ${turn}`);
  }

  private owns(key: string): boolean {
    const {instance: name, zone, timer} = this.parts;
    const origins = this.gossip.peerLoads.activeOrigins(timer.now());
    return ownsKey(key, {name, zone}, origins);
  }

  /** Number of other instances that told of their load lately. */
  countOthers(): number {
    return this.gossip.peerLoads.countActive(this.parts.timer.now());
  }

  /** Addresses of the other instances. */
  peerAddresses(): Iterable<InstanceAddress> {
    return this.peers.all();
  }

  followerOf(topic: Topic): Follower {
    switch (topic) {
      case Topic.Configuration:
        return this.configurations;
      case Topic.Upstreams:
        return this.upstreams;
      case Topic.Instances:
        return this.instances;
    }
  }

  /** Reads the store again, as after a suspension of the process. */
  wake(): void {
    this.configurations.wake();
    this.upstreams.wake();
    this.instances.wake();
    this.permits.noteStall();
    this.origins.noteStall();
  }

  /** Closes the port for peers and the connections to them. */
  async close(): Promise<void> {
    await this.parts.transport.close();
  }

  /**
   * Learns from a peer what the store may have lost before this instance
   * started. Nothing is lost where the store names no epoch.
   */
  private async consultPeers(): Promise<void> {
    if (this.hasConsulted || this.epochs.current === 0) return;
    this.hasConsulted = true;
    const topics = [Topic.Configuration, Topic.Upstreams];
    const peers = [
      ...this.peers.sample(CONSULTED_PEERS),
      ...this.peers.otherZones().flatMap(zone => this.peers.sample(1, zone)),
    ];
    for (const address of peers.slice(0, CONSULTED_PEERS)) {
      if (await this.records.consult(topics, address)) return;
    }
  }

  /** Takes all registered upstreams. */
  applyUpstreams(upstreams: Iterable<VersionedUpstream>): void {
    this.origins.applyUpstreams(upstreams);
    this.versionRecords.check();
  }

  /**
   * Applies records of the instances' topic: addresses of instances, holds and
   * software versions, new ones or all. Returns those that changed something.
   */
  private applyInstances(
    records: KeyedRecord[],
    mode: 'add' | 'replace',
  ): KeyedRecord[] {
    const changes = new Set([
      ...this.peers.update(
        records.filter(
          record => !isHoldRecord(record) && !isVersionRecord(record),
        ),
      ),
      ...this.holds[mode](records.filter(isHoldRecord)),
      ...this.versionRecords[mode](records.filter(isVersionRecord)),
    ]);
    return records.filter(record => changes.has(record));
  }

  private follow(topic: Topic, listener: FollowerListener): Follower {
    const {instance, feed, timer, output} = this.parts;
    return new Follower(
      {
        ...READ_TIMING[topic],
        instance,
        feed,
        epochs: this.epochs,
        topic,
        timer,
        logger: componentLogger(output.logger, Component.Platform),
        random: () => this.parts.random(),
        rankOf: name => this.peers.rankOf(topic, name),
        learned: (news, source) => this.gossip.announce(news, source),
      },
      listener,
    );
  }
}
