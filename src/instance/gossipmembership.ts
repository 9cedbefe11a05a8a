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

/** Peers that get an urgent change at once. */
const PUSH_FANOUT = 3;
/**
 * Limits the changes of the shed tier that are sent at once: a burst of so
 * many, then one per period. The others go out with the probes.
 */
const MAX_SHED_PUSH_BURST = 4;
const SHED_PUSH_PERIOD_MS = 2_000;
/** Time for the last datagrams to be sent before the process ends, in ms. */
const LEAVE_GRACE_MS = 50;

/** Dependencies of [[GossipMembership]]. */
export interface GossipMembershipParts {
  datagrams: DatagramPort;
  timer: Timer;
  logger: Logger;
  /** Source of randomness in [0, 1). */
  random: () => number;
}

/** Records received from a peer. */
export interface MembershipUpdate {
  members?: readonly MemberRecord[];
  statuses?: readonly StatusRecord[];
  items?: readonly TopicItem[];
}

/** Name, incarnation, zone and address of an instance that starts. */
export type Identity = Omit<Member, 'state' | 'status'>;

/**
 * Membership by gossip, after the SWIM protocol: every instance probes one peer
 * per period, directly and then through other peers, and sends changes along
 * with its probes. The cost for an instance does not grow with the fleet.
 */
export class GossipMembership implements Membership {
  readonly roster = new Roster();
  private readonly gossipQueue = new GossipQueue();
  private readonly prober: Prober;
  private readonly suspicionTimers: SuspicionTimers;
  private readonly shedBucket: TokenBucket;
  private readonly listeners = new Set<(member: Member) => void>();
  private readonly versionListeners = new Set<(version: number) => void>();
  private readonly topics = new Topics();
  private readonly ownMember: Member;
  private statusSequence = 0;
  private hasJoined = false;
  private stopped = false;
  private isPushPending = false;
  private newestVersion = 0;

  constructor(
    identity: Identity,
    private readonly parts: GossipMembershipParts,
  ) {
    this.ownMember = {
      ...identity,
      state: MemberState.Alive,
      status: {configurationVersion: 0, queued: 0, running: 0},
    };
    this.suspicionTimers = new SuspicionTimers(parts.timer);
    this.shedBucket = new TokenBucket(
      MAX_SHED_PUSH_BURST,
      SHED_PUSH_PERIOD_MS,
      parts.timer,
    );
    this.prober = new Prober(this, parts);
    const {datagrams} = parts;
    datagrams.handle('news', params => {
      this.receive(membershipMessageSchema.parse(params));
    });
  }

  self(): Member {
    return this.ownMember;
  }

  live(): Member[] {
    return this.all().filter(
      ({state}) => state === MemberState.Alive || state === MemberState.Suspect,
    );
  }

  all(): Member[] {
    return [this.ownMember, ...this.roster.all().map(({member}) => member)];
  }

  updateStatus(change: Partial<MemberStatus>): void {
    const previous = this.ownMember.status;
    const next = {...previous, ...change};
    if (next.shedTier === undefined) delete next.shedTier;
    if (isDeepStrictEqual(previous, next)) return;
    this.ownMember.status = next;
    this.statusSequence++;
    this.gossipQueue.addStatus(this.ownStatusRecord());
    this.notifyListeners(this.ownMember);
    this.pushUrgentStatus(next, previous.shedTier);
  }

  subscribe(listener: (member: Member) => void): void {
    this.listeners.add(listener);
  }

  /** Subscribes to configuration versions above the one applied here. */
  subscribeVersion(listener: (version: number) => void): void {
    this.versionListeners.add(listener);
  }

  /** Adds a topic whose items are sent along with membership. */
  addTopic(topic: Topic): void {
    this.topics.add(topic);
  }

  /** Queues an item of a topic for all members, and sends it to a few now. */
  broadcast(item: TopicItem): void {
    this.gossipQueue.addItem(item);
    this.pushSoon();
  }

  /** Records of all members, this instance included. */
  records(): MemberRecord[] {
    return [recordOf(this.ownMember), ...this.roster.records()];
  }

  /** Statuses of all members, this instance included. */
  statuses(): StatusRecord[] {
    return [this.ownStatusRecord(), ...this.roster.statuses()];
  }

  /** Items of all topics, for a full sync. */
  items(): TopicItem[] {
    return this.topics.snapshot();
  }

  start(): void {
    this.prober.start();
  }

  /**
   * Announces to peers that this instance is leaving and takes no new requests.
   * Resolves after a delay in which the datagrams are sent.
   */
  async leave(): Promise<void> {
    if (this.ownMember.state !== MemberState.Alive) return;
    this.ownMember.state = MemberState.Leaving;
    this.gossipQueue.addMember(recordOf(this.ownMember));
    this.notifyListeners(this.ownMember);
    this.pushSoon();
    if (this.live().length > 0) await this.parts.timer.sleep(LEAVE_GRACE_MS);
  }

  /**
   * Ends all tasks. Without [[leave]] before, peers notice the end only when
   * probes fail.
   */
  async stop(): Promise<void> {
    this.stopped = true;
    this.suspicionTimers.cancelAll();
    await this.prober.stop();
  }

  /** Merges records from a peer and forwards the new ones. */
  merge({members = [], statuses = [], items = []}: MembershipUpdate): void {
    for (const record of members) this.mergeMember(record);
    for (const record of statuses) this.mergeStatus(record);
    const accepted = items.filter(item => this.topics.merge(item));
    for (const item of accepted) this.broadcast(item);
  }

  /**
   * Ends joining. From now on a record of this name with a higher incarnation
   * means that another instance has replaced this one.
   */
  completeJoin(): void {
    this.hasJoined = true;
  }

  /**
   * Builds the body of a datagram. If the recipient is known here as not alive,
   * or with a higher incarnation than it reports, that record is included so
   * that the recipient can refute it.
   */
  buildMessage(recipient?: MemberRecord): MembershipMessageInput {
    const selection = this.gossipQueue.select(this.roster.size + 1);
    const known =
      recipient === undefined ? undefined : this.roster.get(recipient.name);
    if (
      recipient !== undefined &&
      known !== undefined &&
      needsCorrection(known.member, recipient)
    ) {
      selection.members.push(recordOf(known.member));
    }
    const {members, statuses, items} = selection;
    return {
      from: recordOf(this.ownMember),
      version: this.newestVersion,
      ...(members.length === 0 ? {} : {members}),
      ...(statuses.length === 0 ? {} : {statuses}),
      ...(items.length === 0 ? {} : {items}),
    };
  }

  /** Queues the own status again, for peers that missed it. */
  resendStatus(): void {
    this.gossipQueue.addStatus(this.ownStatusRecord());
  }

  private ownStatusRecord(): StatusRecord {
    const {name, incarnation, status} = this.ownMember;
    return {name, incarnation, sequence: this.statusSequence, status};
  }

  /** Merges a datagram, unless a newer incarnation of its sender is known. */
  receive({from, version, members, statuses, items}: MembershipMessage): void {
    const known = this.roster.get(from.name)?.member.incarnation ?? 0;
    if (from.incarnation < known) return;
    this.noteVersion(version);
    this.merge({members: [from, ...members], statuses, items});
  }

  private mergeMember(record: MemberRecord): void {
    if (record.name === this.ownMember.name) {
      this.handleOwnRecord(record);
      return;
    }
    if (!this.roster.merge(record, this.parts.timer.now())) return;
    this.gossipQueue.addMember(record);
    if (record.state === MemberState.Suspect) this.startSuspicion(record);
    else this.suspicionTimers.cancel(record.name);
    const entry = this.roster.get(record.name);
    if (entry !== undefined) this.notifyListeners(entry.member);
    const {name, state, incarnation} = record;
    this.parts.logger.info({name, state, incarnation}, 'Member state changed.');
  }

  private mergeStatus(record: StatusRecord): void {
    const shedTier = this.roster.get(record.name)?.member.status.shedTier;
    if (!this.roster.mergeStatus(record)) return;
    this.gossipQueue.addStatus(record);
    const entry = this.roster.get(record.name);
    if (entry === undefined) return;
    this.notifyListeners(entry.member);
    this.pushUrgentStatus(entry.member.status, shedTier);
  }

  /**
   * Sends a new configuration version or a change of the shed tier at once
   * instead of with the next probe.
   */
  private pushUrgentStatus(status: MemberStatus, shedTier?: number): void {
    this.noteVersion(status.configurationVersion);
    if (status.shedTier !== shedTier && this.shedBucket.take()) this.pushSoon();
  }

  /**
   * Forwards a configuration version that is new to this instance, and notifies
   * listeners if it is above the one applied here.
   */
  private noteVersion(version: number): void {
    if (version > this.newestVersion) {
      this.newestVersion = version;
      this.pushSoon();
    }
    if (version <= this.ownMember.status.configurationVersion) return;
    for (const listener of this.versionListeners) listener(version);
  }

  /**
   * Handles a record of this instance from a peer. A wrong state is refuted by
   * a higher incarnation. After joining, a record with a higher incarnation
   * than the own one is of a successor under the same name: this instance stops
   * taking part. Before, it is of an earlier run, and is overridden.
   */
  private handleOwnRecord(record: MemberRecord): void {
    if (record.incarnation < this.ownMember.incarnation) return;
    if (record.incarnation > this.ownMember.incarnation && this.hasJoined) {
      this.yieldToSuccessor(record);
      return;
    }
    const isNewer = record.incarnation > this.ownMember.incarnation;
    if (!isNewer && record.state === this.ownMember.state) return;
    if (!isNewer && this.ownMember.state === MemberState.Leaving) return;
    if (!isNewer && record.state === MemberState.Alive) return;
    this.ownMember.incarnation = record.incarnation + 1;
    this.gossipQueue.addMember(recordOf(this.ownMember));
    this.parts.logger.info(
      {told: record.state, incarnation: this.ownMember.incarnation},
      'Raised the own incarnation to override a record of this instance.',
    );
  }

  private yieldToSuccessor(record: MemberRecord): void {
    if (this.ownMember.state === MemberState.Dead) return;
    this.ownMember.state = MemberState.Dead;
    this.stopped = true;
    void this.prober.stop();
    this.notifyListeners(this.ownMember);
    this.parts.logger.error(
      {successor: record.incarnation, incarnation: this.ownMember.incarnation},
      'Another instance runs under this name; this one left the fleet.',
    );
  }

  /**
   * Handles a member that no probe reached: it becomes suspect, or dead if it
   * was leaving. Ignored if its incarnation has changed since.
   */
  markUnreachable({name, incarnation}: MemberRecord): void {
    const entry = this.roster.get(name);
    if (entry === undefined) return;
    if (entry.member.incarnation !== incarnation) return;
    const state =
      entry.member.state === MemberState.Leaving
        ? MemberState.Dead
        : MemberState.Suspect;
    this.mergeMember({...recordOf(entry.member), state});
  }

  private startSuspicion(record: MemberRecord): void {
    const timeoutMs = suspicionTimeoutMs(this.live().length);
    this.suspicionTimers.start(record.name, timeoutMs, () => {
      const entry = this.roster.get(record.name);
      if (entry?.member.incarnation !== record.incarnation) return;
      this.mergeMember({...recordOf(entry.member), state: MemberState.Dead});
    });
  }

  /**
   * Sends queued updates to a few random peers at once. Changes made in
   * the same task share one message. Receivers forward what is new to them.
   */
  private pushSoon(): void {
    if (this.isPushPending || this.stopped) return;
    this.isPushPending = true;
    queueMicrotask(() => {
      this.isPushPending = false;
      const peers = this.live().filter(member => member !== this.ownMember);
      const message = this.buildMessage();
      for (const peer of sample(peers, PUSH_FANOUT, this.parts.random)) {
        this.parts.datagrams.notify(peer, 'news', message);
      }
    });
  }

  private notifyListeners(member: Member): void {
    for (const listener of this.listeners) listener(member);
  }
}
