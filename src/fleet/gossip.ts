import type {Logger} from 'pino';
import {Learned, LearnedFrom} from '../registry/index.js';
import {describeIssue} from '../telemetry/issue.js';
import {LogEvent} from '../telemetry/logevent.js';
import type {Subscription, Timer} from '../timer/index.js';
import type {Datagrams} from './datagrams.js';
import type {EvidenceLog} from './evidencelog.js';
import {EvidenceRelay} from './evidencerelay.js';
import {
  decodeReport,
  encodeReport,
  MAX_LOAD_AGE_MS,
  PeerLoads,
  type LoadReport,
} from './loads.js';
import {
  GOSSIP_METHOD,
  gossipMessageSchema,
  ZONE_PREFIX,
  type GossipMessage,
  type InstanceAddress,
  type NoticeBoard,
  type SentPrompt,
  type UpstreamLoad,
} from './message.js';
import type {Peers} from './peers.js';
import {PromptRelay} from './promptrelay.js';
import type {RecordExchange} from './recordexchange.js';
import {RelayQueue} from './relayqueue.js';
import {Throttle} from './throttle.js';

/** Shortest time between two regular rounds of messages, in ms. */
const ROUND_MS = 150;
/** Time between two regular rounds of an instance that relays, in ms. */
const RELAYING_ROUND_MS = 300;
/** Time between two rounds of an idle instance, in ms. */
const IDLE_ROUND_MS = 600;
/** Most rounds because of placements, relative to the regular rounds. */
const MAX_PLACEMENT_ROUNDS = 2;
/**
 * Shortest time until a round because a topic is fresher, since the last one for
 * news of a topic, in ms.
 */
const MIN_FRESHNESS_INTERVAL_MS = 200;
/**
 * Time between messages that carry the state of the topics where all instances
 * talk directly, in ms. It serves those that the reader can't reach.
 */
const STATUS_INTERVAL_MS = 400;
/** Peers of the own zone that a relaying instance sends to in a round. */
const ZONE_FANOUT = 2;
/**
 * Peers of each other zone that the reader of a topic tells of changes, and an
 * instance of its own evidence.
 */
const CHANGES_FANOUT = 2;
/** Peers of each other zone that it tells that nothing has changed. */
const FRESHNESS_FANOUT = 1;
/** Messages a second from each zone to each other zone. */
const ZONE_MESSAGES_PER_SECOND = 2;
/** Sends of a relayed load within the zone, by each instance. */
const MAX_LOAD_SENDS = 3;
/** Most bytes of relayed loads in one message. */
const MAX_RELAYED_BYTES = 2_000;
/** Most prompts in one message of a fleet that talks directly. */
const MAX_PROMPTS = 24;

/** Dependencies of [[Gossip]]. */
export interface GossipParts {
  /** Name of this instance. */
  name: string;
  /** Availability zone of this instance. */
  zone: string;
  datagrams: Datagrams;
  peers: Peers;
  records: RecordExchange;
  timer: Timer;
  logger: Logger;
  /** Returns a random number in [0, 1). */
  random: () => number;
  /** Load from this instance on each upstream, without idle ones. */
  loads(): UpstreamLoad[];
  /** For each service, the most urgent tier with a long-waiting request. */
  waiting(): Array<[string, number]>;
  /** What upstreams said of themselves in responses. */
  notices: NoticeBoard;
  /** Records a prompt that another instance sent to an upstream. */
  recordPrompt(prompt: SentPrompt): void;
  evidence: EvidenceLog;
}

/**
 * Exchanges with the other instances the load that each puts on the upstreams,
 * the prompts it sends there, and what it knows of the store's topics. In a
 * small fleet every message goes to all. In a larger one, an instance sends to a
 * few random peers of its zone and passes on what it has heard; between zones
 * travel sums, so that no instance sends more as the fleet grows. A lost or late
 * message makes placement less accurate and delays records by a round.
 */
export class Gossip {
  /** Load that the other instances have reported. */
  readonly peerLoads = new PeerLoads();
  private readonly relayedLoads = new RelayQueue<KnownLoad>(
    MAX_LOAD_SENDS,
    Infinity,
    ({report}) => JSON.stringify(encodeReport(report, 0)).length,
  );
  private readonly relayedPrompts: PromptRelay;
  /** Prompts for the next message of a fleet that talks directly. */
  private prompts: SentPrompt[] = [];
  private sentAt = -Infinity;
  /** When a round was last sent for news of a topic. */
  private newsSentAt = -Infinity;
  /** When the state of the topics was last sent. */
  private statusSentAt = -Infinity;
  /** Whether the last message reported no load and no prompts. */
  private wasIdle = false;

  private readonly placementRounds: Throttle;
  private readonly evidence: EvidenceRelay;

  constructor(private readonly parts: GossipParts) {
    this.relayedPrompts = new PromptRelay(parts.timer);
    this.placementRounds = new Throttle(
      parts.timer,
      () => this.sendRound(),
      () => this.sentAt,
    );
    this.evidence = new EvidenceRelay({
      log: parts.evidence,
      timer: parts.timer,
      logger: parts.logger,
      random: parts.random,
      zoneSize: () => parts.peers.zoneSize,
      added: () => this.send(),
    });
    parts.datagrams.handle(GOSSIP_METHOD, params => this.receive(params));
  }

  /** Starts sending regular messages, until the subscription ends. */
  start(): Subscription {
    const rounds = this.parts.timer.every(ROUND_MS, () => this.sendIfDue());
    return {
      end: () => {
        rounds.end();
        this.placementRounds.cancel();
        this.evidence.end();
      },
    };
  }

  /** Ages of the known loads of single instances, in ms. */
  loadAges(): number[] {
    return this.peerLoads.ages(
      from => !from.startsWith(ZONE_PREFIX),
      this.parts.timer.now(),
    );
  }

  /** Adds a prompt that was sent to an upstream to the next messages. */
  addPrompt(prompt: SentPrompt): void {
    if (this.parts.peers.areDirect) {
      if (this.prompts.length < MAX_PROMPTS) this.prompts.push(prompt);
      return;
    }
    // The last part belongs to the request alone; its caller comes back here.
    const shared = {...prompt, parts: prompt.parts.slice(0, -1)};
    this.relayedPrompts.add(shared);
  }

  /** Tells the peers what was learned of a topic, if they should know soon. */
  announce(news: Learned, source: LearnedFrom): void {
    const {timer, peers} = this.parts;
    // Where all instances talk directly, every peer was told by the reader.
    if (source === LearnedFrom.Peer && peers.areDirect) return;
    const isReader = source === LearnedFrom.Store;
    const now = timer.now();
    switch (news) {
      case Learned.Changes:
        this.newsSentAt = now;
        this.sendRound({
          withStatus: true,
          withChanges: true,
          further: isReader ? CHANGES_FANOUT : 0,
        });
        return;
      case Learned.Freshness:
        if (!isReader && now - this.newsSentAt < MIN_FRESHNESS_INTERVAL_MS) {
          return;
        }
        this.newsSentAt = now;
        this.sendRound({
          withStatus: true,
          further: isReader ? FRESHNESS_FANOUT : 0,
        });
        return;
    }
  }

  /**
   * Sends the current load soon after a placement: at once, or with that of
   * other placements if a round was just sent.
   */
  send(): void {
    this.placementRounds.request(this.roundMs() / MAX_PLACEMENT_ROUNDS);
  }

  private sendIfDue(): void {
    const now = this.parts.timer.now();
    this.peerLoads.sweep(now);
    // A round that another reason caused may have served the last request.
    if (this.evidence.isPending) this.send();
    const isIdle = this.parts.loads().length === 0 && this.prompts.length === 0;
    const dueMs = isIdle && this.wasIdle ? IDLE_ROUND_MS : this.roundMs();
    // The timer may fire slightly early.
    if (now - this.sentAt >= dueMs - 1) this.sendRound();
  }

  /** Time between two regular rounds, in ms. */
  private roundMs(): number {
    return this.parts.peers.areDirect ? ROUND_MS : RELAYING_ROUND_MS;
  }

  private sendRound({
    withStatus = false,
    withChanges = false,
    further = 0,
  }: Round = {}): void {
    const {timer, peers, records} = this.parts;
    const now = timer.now();
    const elapsedMs = Math.min(now - this.sentAt, IDLE_ROUND_MS);
    const own = this.ownReport();
    this.wasIdle = own.loads.length === 0 && this.prompts.length === 0;
    this.sentAt = now;
    const hasStatus =
      withStatus ||
      !peers.areDirect ||
      now - this.statusSentAt >= STATUS_INTERVAL_MS;
    if (hasStatus) this.statusSentAt = now;
    const evidence = this.evidence.take(ZONE_FANOUT);
    const message: GossipMessage = {
      from: own.from,
      loads: own.loads,
      waiting: own.waiting,
      readings: [],
      relayed: [],
      ...records.news({withStatus: hasStatus, withChanges}),
      ...(evidence.items.length === 0 ? {} : {evidence: evidence.items}),
    };
    if (this.evidence.isPending) this.send();
    if (peers.areDirect) {
      this.sendTo(peers.all(), {...message, readings: this.prompts});
      this.prompts = [];
      return;
    }
    const mates = peers.mates(ZONE_FANOUT);
    if (mates.length > 0) {
      const readings = this.relayedPrompts.take(mates.length);
      this.relayedLoads.prune(({at}) => now - at > MAX_LOAD_AGE_MS);
      const others = this.relayedLoads.take(MAX_RELAYED_BYTES, mates.length);
      const relayed = [
        encodeReport(own, 0),
        ...others.map(({report, at}) => encodeReport(report, now - at)),
      ];
      this.sendTo(mates, {...message, loads: [], readings, relayed});
    }
    const urgent = evidence.isUrgent
      ? Math.max(further, CHANGES_FANOUT)
      : further;
    this.sendToOtherZones(message, own, elapsedMs, urgent);
  }

  /**
   * Sends the sum of the zone's loads to each other zone, so often that the
   * instances of this zone together keep to their rate.
   */
  private sendToOtherZones(
    message: GossipMessage,
    own: LoadReport,
    elapsedMs: number,
    further: number,
  ): void {
    const {peers, random, zone, timer} = this.parts;
    const share =
      (ZONE_MESSAGES_PER_SECOND * elapsedMs) / 1_000 / peers.zoneSize;
    const otherZones = peers.otherZones();
    const chosen = otherZones.filter(() => random() < share);
    if (chosen.length > 0) {
      const {sum, ageMs} = this.peerLoads.sumOf(
        from => !from.startsWith(ZONE_PREFIX),
        own,
        timer.now(),
      );
      const from = ZONE_PREFIX + zone;
      const relayed = [encodeReport({...sum, from}, ageMs)];
      const readings = this.relayedPrompts.take(1);
      const summary = {...message, loads: [], readings, relayed};
      this.sendTo(
        chosen.flatMap(other => peers.sample(1, other)),
        summary,
      );
    }
    const urgent = otherZones.flatMap(other => peers.sample(further, other));
    this.sendTo(urgent, {...message, loads: []});
  }

  private sendTo(
    addresses: Iterable<InstanceAddress>,
    message: GossipMessage,
  ): void {
    this.parts.datagrams.broadcast(addresses, GOSSIP_METHOD, {
      ...message,
      ...this.parts.notices.take(),
    });
  }

  private ownReport(): LoadReport {
    const {parts} = this;
    return {
      from: parts.name,
      instances: 1,
      loads: parts.loads(),
      waiting: parts.waiting(),
    };
  }

  private receive(params: unknown): void {
    const {timer, logger, peers, zone} = this.parts;
    const parsed = gossipMessageSchema.safeParse(params);
    if (!parsed.success) {
      logger.warn(
        {event: LogEvent.Peer, problem: describeIssue(parsed.error)},
        'Ignored a malformed gossip message.',
      );
      return;
    }
    const {from, loads, waiting, ...message} = parsed.data;
    const now = timer.now();
    const address = peers.addressOf(from);
    // A sender that passes loads on has its own among them, or tells none in an
    // urgent message to another zone.
    const mayTellNone = !peers.areDirect && loads.length === 0;
    if (message.relayed.length === 0 && !mayTellNone) {
      this.learn({from, instances: 1, loads, waiting}, now);
    }
    this.parts.notices.learn(message);
    for (const wire of message.relayed) {
      const {report, ageMs} = decodeReport(wire);
      const isOwn =
        report.from === this.parts.name || report.from === ZONE_PREFIX + zone;
      if (!isOwn) this.learn(report, now - ageMs);
    }
    for (const prompt of message.readings) this.learnPrompt(prompt);
    this.evidence.receive(message.evidence ?? []);
    this.parts.records.receive(message, address);
  }

  private learn(report: LoadReport, at: number): void {
    if (this.parts.timer.now() - at > MAX_LOAD_AGE_MS) return;
    if (!this.peerLoads.update(report, at)) return;
    this.evidence.noteHeard(report.from);
    if (this.parts.peers.areDirect) return;
    this.relayedLoads.add(report.from, {report, at});
  }

  private learnPrompt(prompt: SentPrompt): void {
    this.parts.recordPrompt(prompt);
    if (!this.parts.peers.areDirect) this.relayedPrompts.add(prompt);
  }
}

/** What a round of messages carries beside loads and prompts. */
interface Round {
  /** Whether it has to carry the state of the topics. */
  withStatus?: boolean;
  /** Whether it carries the newest changes of the topics. */
  withChanges?: boolean;
  /**
   * Number of peers of each other zone that it goes to beside those of the own
   * zone, if the instances don't all talk directly.
   */
  further?: number;
}

/** A load report with the time of its data, in monotonic ms. */
interface KnownLoad {
  report: LoadReport;
  at: number;
}
