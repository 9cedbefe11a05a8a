import {isDeepStrictEqual} from 'node:util';
import type {Logger} from 'pino';
import type {Timer} from '../timer/index.js';
import {TokenBucket} from './tokenbucket.js';
import type {DatagramPort} from './datagram.js';
import {GossipQueue} from './gossipqueue.js';
import {
  MemberState,
  type Member,
  type Membership,
  type MemberStatus,
} from './member.js';
import {
  membershipMessageSchema,
  type MembershipMessage,
  type MemberRecord,
  type MembershipMessageInput,
  type StatusRecord,
  type TopicItem,
} from './message.js';
import {sample} from './probeorder.js';
import {Prober} from './prober.js';
import {needsCorrection, recordOf, Roster} from './roster.js';
import {SuspicionTimers, suspicionTimeoutMs} from './suspicion.js';
import {Topics, type Topic} from './topic.js';

/** Peers told at once of urgent news. */
const NEWS_FANOUT = 3;
/** Changes in shedding told at once, and the time until one more may be. */
const BURSTS = 4;
const BURST_PERIOD_MS = 2_000;
/** Time for the last datagrams to go out before the process ends, in ms. */
const LEAVE_GRACE_MS = 50;

/** What a [[Fleet]] works with. */
export interface GossipMembershipParts {
  datagrams: DatagramPort;
  timer: Timer;
  logger: Logger;
  random: () => number;
}

/** What one instance may tell another. */
export interface Knowledge {
  members?: readonly MemberRecord[];
  statuses?: readonly StatusRecord[];
  items?: readonly TopicItem[];
}

/** Who an instance is when it starts. */
export type Identity = Omit<Member, 'state' | 'status'>;

/**
 * The membership of a fleet of equal instances. Each probes one peer a period,
 * directly and then through others, and tells what it learns along with its
 * probes, so that the cost for an instance does not grow with the fleet.
 */
export class GossipMembership implements Membership {
  readonly roster = new Roster();
  private readonly gossip = new GossipQueue();
  private readonly prober: Prober;
  private readonly suspicions: SuspicionTimers;
  private readonly bursts: TokenBucket;
  private readonly listeners = new Set<(member: Member) => void>();
  private readonly versionListeners = new Set<(version: number) => void>();
  private readonly topics = new Topics();
  private readonly me: Member;
  private sequence = 0;
  private joined = false;
  private stopped = false;
  private newsPending = false;
  private newestVersion = 0;

  constructor(
    identity: Identity,
    private readonly parts: GossipMembershipParts,
  ) {
    this.me = {
      ...identity,
      state: MemberState.Alive,
      status: {configurationVersion: 0, queued: 0, running: 0},
    };
    this.suspicions = new SuspicionTimers(parts.timer);
    this.bursts = new TokenBucket(BURSTS, BURST_PERIOD_MS, parts.timer);
    this.prober = new Prober(this, parts);
    const {datagrams} = parts;
    datagrams.handle('news', params => {
      this.receive(membershipMessageSchema.parse(params));
    });
  }

  self(): Member {
    return this.me;
  }

  live(): Member[] {
    return this.all().filter(
      ({state}) => state === MemberState.Alive || state === MemberState.Suspect,
    );
  }

  all(): Member[] {
    return [this.me, ...this.roster.all().map(({member}) => member)];
  }

  updateStatus(change: Partial<MemberStatus>): void {
    const before = this.me.status;
    const after = {...before, ...change};
    if (after.shedTier === undefined) delete after.shedTier;
    if (isDeepStrictEqual(before, after)) return;
    this.me.status = after;
    this.sequence++;
    this.gossip.addStatus(this.statusOfSelf());
    this.tell(this.me);
    this.spreadStatus(after, before.shedTier);
  }

  subscribe(listener: (member: Member) => void): void {
    this.listeners.add(listener);
  }

  /** Subscribes to configuration versions that are in force elsewhere only. */
  subscribeVersion(listener: (version: number) => void): void {
    this.versionListeners.add(listener);
  }

  /** Adds a kind of fact to what this instance spreads. */
  addTopic(topic: Topic): void {
    this.topics.add(topic);
  }

  /** Spreads an item of a topic that originates here. */
  broadcast(item: TopicItem): void {
    this.gossip.addItem(item);
    this.spreadNews();
  }

  /** Records of all members, this instance included. */
  records(): MemberRecord[] {
    return [recordOf(this.me), ...this.roster.records()];
  }

  /** Statuses of all members, this instance included. */
  statuses(): StatusRecord[] {
    return [this.statusOfSelf(), ...this.roster.statuses()];
  }

  /** Every item of all topics, for an instance that joins. */
  items(): TopicItem[] {
    return this.topics.snapshot();
  }

  start(): void {
    this.prober.start();
  }

  /**
   * Tells peers that this instance leaves and takes no new work. Resolves when
   * they had time to hear it.
   */
  async leave(): Promise<void> {
    if (this.me.state !== MemberState.Alive) return;
    this.me.state = MemberState.Leaving;
    this.gossip.addMember(recordOf(this.me));
    this.tell(this.me);
    this.spreadNews();
    if (this.live().length > 0) await this.parts.timer.sleep(LEAVE_GRACE_MS);
  }

  /** Ends all tasks. Peers that were not told by [[leave]] will suspect it. */
  async stop(): Promise<void> {
    this.stopped = true;
    this.suspicions.cancelAll();
    await this.prober.stop();
  }

  /** Takes in what a peer knows. */
  merge({members = [], statuses = [], items = []}: Knowledge): void {
    for (const record of members) this.learnMember(record);
    for (const record of statuses) this.learnStatus(record);
    const news = items.filter(item => this.topics.merge(item));
    for (const item of news) this.broadcast(item);
  }

  /** Marks the end of joining: from now on the own name is taken. */
  completeJoin(): void {
    this.joined = true;
  }

  /** Builds the body of a datagram; `to` learns what is held against it. */
  buildMessage(to?: MemberRecord): MembershipMessageInput {
    const selection = this.gossip.select(this.roster.size + 1);
    const view = to === undefined ? undefined : this.roster.get(to.name);
    if (
      to !== undefined &&
      view !== undefined &&
      needsCorrection(view.member, to)
    ) {
      selection.members.push(recordOf(view.member));
    }
    const {members, statuses, items} = selection;
    return {
      from: recordOf(this.me),
      version: this.newestVersion,
      ...(members.length === 0 ? {} : {members}),
      ...(statuses.length === 0 ? {} : {statuses}),
      ...(items.length === 0 ? {} : {items}),
    };
  }

  /** Tells the own status again, for peers that missed it. */
  resendStatus(): void {
    this.gossip.addStatus(this.statusOfSelf());
  }

  private statusOfSelf(): StatusRecord {
    const {name, incarnation, status} = this.me;
    return {name, incarnation, sequence: this.sequence, status};
  }

  /** Takes in a datagram, unless a newer incarnation of the sender is known. */
  receive({from, version, members, statuses, items}: MembershipMessage): void {
    const known = this.roster.get(from.name)?.member.incarnation ?? 0;
    if (from.incarnation < known) return;
    this.learnVersion(version);
    this.merge({members: [from, ...members], statuses, items});
  }

  private learnMember(record: MemberRecord): void {
    if (record.name === this.me.name) {
      this.learnOfSelf(record);
      return;
    }
    if (!this.roster.merge(record, this.parts.timer.now())) return;
    this.gossip.addMember(record);
    if (record.state === MemberState.Suspect) this.awaitRefutation(record);
    else this.suspicions.cancel(record.name);
    const entry = this.roster.get(record.name);
    if (entry !== undefined) this.tell(entry.member);
    const {name, state, incarnation} = record;
    this.parts.logger.info({name, state, incarnation}, 'Member changed.');
  }

  private learnStatus(record: StatusRecord): void {
    const shedTier = this.roster.get(record.name)?.member.status.shedTier;
    if (!this.roster.mergeStatus(record)) return;
    this.gossip.addStatus(record);
    const entry = this.roster.get(record.name);
    if (entry === undefined) return;
    this.tell(entry.member);
    this.spreadStatus(entry.member.status, shedTier);
  }

  /** Spreads at once what must not wait: a new version, a change in shedding. */
  private spreadStatus(status: MemberStatus, shedTier?: number): void {
    this.learnVersion(status.configurationVersion);
    if (status.shedTier !== shedTier && this.bursts.take()) this.spreadNews();
  }

  /** Tells listeners of a version that is not in force here yet. */
  private learnVersion(version: number): void {
    if (version > this.newestVersion) {
      this.newestVersion = version;
      this.spreadNews();
    }
    if (version <= this.me.status.configurationVersion) return;
    for (const listener of this.versionListeners) listener(version);
  }

  /**
   * Refutes what is told of this instance while it is not so. An incarnation
   * higher than its own is a successor under the same name: this one ends.
   */
  private learnOfSelf(record: MemberRecord): void {
    if (record.incarnation < this.me.incarnation) return;
    if (record.incarnation > this.me.incarnation && this.joined) {
      this.yieldToSuccessor(record);
      return;
    }
    const higher = record.incarnation > this.me.incarnation;
    if (!higher && record.state === this.me.state) return;
    if (!higher && this.me.state === MemberState.Leaving) return;
    if (!higher && record.state === MemberState.Alive) return;
    this.me.incarnation = record.incarnation + 1;
    this.gossip.addMember(recordOf(this.me));
    this.parts.logger.info(
      {told: record.state, incarnation: this.me.incarnation},
      'Told peers that this instance is alive.',
    );
  }

  private yieldToSuccessor(record: MemberRecord): void {
    if (this.me.state === MemberState.Dead) return;
    this.me.state = MemberState.Dead;
    this.stopped = true;
    void this.prober.stop();
    this.tell(this.me);
    this.parts.logger.error(
      {successor: record.incarnation, incarnation: this.me.incarnation},
      'Another instance runs under this name; left the fleet to it.',
    );
  }

  /** Takes on that nobody reached a member; a leaving one is gone then. */
  markUnreachable({name, incarnation}: MemberRecord): void {
    const entry = this.roster.get(name);
    if (entry === undefined) return;
    if (entry.member.incarnation !== incarnation) return;
    const state =
      entry.member.state === MemberState.Leaving
        ? MemberState.Dead
        : MemberState.Suspect;
    this.learnMember({...recordOf(entry.member), state});
  }

  private awaitRefutation(record: MemberRecord): void {
    const timeoutMs = suspicionTimeoutMs(this.live().length);
    this.suspicions.start(record.name, timeoutMs, () => {
      const entry = this.roster.get(record.name);
      if (entry?.member.incarnation !== record.incarnation) return;
      this.learnMember({...recordOf(entry.member), state: MemberState.Dead});
    });
  }

  /** Tells a few peers at once, who do the same if it is news to them. */
  private spreadNews(): void {
    if (this.newsPending || this.stopped) return;
    this.newsPending = true;
    queueMicrotask(() => {
      this.newsPending = false;
      const peers = this.live().filter(member => member !== this.me);
      const news = this.buildMessage();
      for (const peer of sample(peers, NEWS_FANOUT, this.parts.random)) {
        this.parts.datagrams.notify(peer, 'news', news);
      }
    });
  }

  private tell(member: Member): void {
    for (const listener of this.listeners) listener(member);
  }
}
