import type {Logger} from 'pino';
import {LogEvent} from '../telemetry/logevent.js';
import type {Timer} from '../timer/index.js';
import {ChangeLog} from './changelog.js';
import {EarlierPositions, type EarlierPosition} from './earlierpositions.js';
import type {FeedPage, KeyedRecord, Snapshot, Topic} from './feed.js';
import type {KnownRead, ReadSchedule} from './readschedule.js';
import type {StoreEpoch} from './storeepoch.js';
import {TopicAge} from './topicage.js';
import type {TopicContent} from './topiccontent.js';
import {
  Learned,
  LearnedFrom,
  Reception,
  type Changes,
  type KnownRecord,
  type TopicState,
  type TopicStatus,
} from './topicstatus.js';

/**
 * Time after a suspension in which messages are handled that arrived during it,
 * in ms.
 */
const BACKLOG_MS = 500;

/**
 * Peers' accounts of one read differ by the time that their messages were on the
 * way. One that makes the topic fresher by less than this, in ms, is no news.
 */
const MIN_FRESHNESS_GAIN_MS = 100;

/** Dependencies of a [[TopicReplica]]. */
export interface TopicReplicaOptions {
  /** Name of this instance. */
  instance: string;
  topic: Topic;
  epochs: StoreEpoch;
  timer: Timer;
  logger: Logger;
  /** Called when a read has told something that peers should know. */
  learned(news: Learned, source: LearnedFrom): void;
}

/**
 * What an instance knows of a keyed topic, from the store and from peers. Never
 * moves backwards: what ends before the known offset is discarded. Offsets count
 * within an epoch of the store. In a new one the replica starts anew, from a
 * snapshot or the state of a peer, and keeps what it knows beyond it.
 */
export class TopicReplica {
  private readonly changes = new ChangeLog();
  private readonly age: TopicAge;
  private readonly earlier = new EarlierPositions();
  /** Epoch in which the known offsets were given out. */
  private epoch = 0;
  /** Whether the topic is known in the current epoch. */
  private hasSnapshot = false;
  /** Whether the topic was known in an epoch before the current one. */
  private isRestarting = false;
  /** Whether it isn't known in the current epoch since that has risen. */
  private awaitsEpoch = false;
  /** Whether what is known may be older than it seems. */
  private mustRead = false;
  /** Until when peers' messages may have waited here unread, in monotonic ms. */
  private distrustedUntil = -Infinity;

  constructor(
    private readonly options: TopicReplicaOptions,
    private readonly listener: TopicContent,
    private readonly schedule: ReadSchedule,
  ) {
    this.age = new TopicAge(options.timer);
  }

  get topic(): Topic {
    return this.options.topic;
  }

  /** Whether the topic is known in the current epoch. */
  get isStarted(): boolean {
    return this.hasSnapshot;
  }

  /** Ms since the topic was known to be current; undefined before. */
  ageMs(): number | undefined {
    return this.age.ms();
  }

  /** Ms since the topic has been current without a long gap; 0 if it isn't. */
  reachableForMs(): number {
    return this.age.reachableForMs();
  }

  /**
   * Before the first snapshot in a new epoch: ms since the store is known to
   * serve in it. Else 0.
   */
  servedForMs(): number {
    return this.awaitsEpoch ? this.options.epochs.servedForMs() : 0;
  }

  /** Whether this instance reads the topic for the others. */
  isReader(): boolean {
    return this.schedule.reader === this.options.instance;
  }

  /** Time until this instance has to call the store, in ms. */
  delayUntilReadMs(): number {
    const now = this.options.timer.now();
    if (this.isRestarting) return this.schedule.restartDelayMs(now);
    const {currentAt} = this.age;
    if (!this.hasSnapshot || this.mustRead || currentAt === undefined) {
      return 0;
    }
    return this.schedule.delayMs(now - currentAt);
  }

  /** Distrusts ages until the next read, as after a suspension. */
  distrust(): void {
    this.mustRead = true;
    this.distrustedUntil = this.options.timer.now() + BACKLOG_MS;
  }

  /** Whether a read that began at `at` or later has reached the end of the topic. */
  isReadSince(at: number): boolean {
    return !this.mustRead && this.age.readSince >= at;
  }

  /** What this instance knows; undefined before the first snapshot. */
  status(): TopicStatus | undefined {
    const {topic, epochs} = this.options;
    const ageMs = this.age.ms();
    if (!this.hasSnapshot || this.mustRead || ageMs === undefined) {
      return undefined;
    }
    const {end, since, changedTo} = this.changes;
    const {reader} = this.age;
    return {topic, epoch: epochs.current, end, since, changedTo, ageMs, reader};
  }

  /** All that this instance knows; undefined before the first snapshot. */
  state(): TopicState | undefined {
    const status = this.status();
    if (status === undefined) return undefined;
    const records = this.listener.known();
    return {status, records, earlier: this.earlierPositions()};
  }

  /** How far this instance knows the epochs that ended a short time ago. */
  earlierPositions(): EarlierPosition[] {
    return this.earlier.list(this.options.timer.now());
  }

  /** Whether a peer may know records of an earlier epoch that aren't here. */
  isBehind(earlier: readonly EarlierPosition[]): boolean {
    return this.hasSnapshot && this.earlier.isBehind(earlier);
  }

  /** Changes from an offset on; undefined if they are no longer kept. */
  changesFrom(offset: number): KeyedRecord[] | undefined {
    return this.changes.from(offset);
  }

  /** Offset up to which the topic is known. */
  get end(): number {
    return this.changes.end;
  }

  /** Number of records that a snapshot would hold, as far as known. */
  get recordCount(): number {
    return this.listener.known().length;
  }

  /** Takes the status of a peer, with changes that it sent along. */
  receive(status: TopicStatus, sent?: Changes): Reception {
    const {timer, epochs} = this.options;
    const now = timer.now();
    epochs.learn(status.epoch, LearnedFrom.Peer);
    if (status.epoch < epochs.current || now < this.distrustedUntil) {
      return Reception.Ignored;
    }
    if (!this.hasSnapshot) {
      if (!this.isRestarting) return Reception.Ignored;
      this.schedule.awaitState(now);
      return Reception.Unstarted;
    }
    const {end} = this.changes;
    const readAt = now - status.ageMs;
    const canLearn = end >= status.since;
    // After a return all write their addresses again, and who can't learn them
    // from a reader must not give way to it. At a start, that would cost calls.
    if (canLearn || this.earlierPositions().length === 0) {
      this.noteRead({reader: status.reader, at: readAt}, now);
    }
    if (!canLearn) return Reception.Ignored;
    if (end < status.changedTo) {
      if (sent === undefined || sent.from > end) return Reception.Behind;
      const missing = sent.records.filter(({offset}) => offset >= end);
      if (!this.listener.hasRoomFor(missing)) return Reception.Ignored;
      // Passed on as received: they may have no effect here but at other peers.
      this.add(missing);
      this.changes.append(missing, status.end);
      this.noteCurrent(readAt, status.reader);
      this.options.learned(Learned.Changes, LearnedFrom.Peer);
      return Reception.Applied;
    }
    const gainMs = readAt - (this.age.currentAt ?? -Infinity);
    const isNews = end < status.end || gainMs >= MIN_FRESHNESS_GAIN_MS;
    if (gainMs <= 0 || !isNews) return Reception.Ignored;
    if (end < status.end) this.changes.append([], status.end);
    this.noteCurrent(readAt, status.reader);
    this.options.learned(Learned.Freshness, LearnedFrom.Peer);
    return Reception.Applied;
  }

  /**
   * Takes the state of a peer: to start in the current epoch, or to add what the
   * peer knows from earlier ones.
   */
  receiveState({status, records, earlier}: TopicState): Reception {
    const {epochs, timer, topic, logger} = this.options;
    const now = timer.now();
    epochs.learn(status.epoch, LearnedFrom.Peer);
    if (status.epoch < epochs.current) return Reception.Ignored;
    // A state that ends before what is known may lack newer records.
    const isOlder = this.hasSnapshot && status.end < this.changes.end;
    if (isOlder || !this.listener.hasRoomFor(records)) return Reception.Ignored;
    logger.info(
      {
        event: LogEvent.Store,
        topic,
        epoch: status.epoch,
        records: records.length,
        end: status.end,
      },
      this.hasSnapshot
        ? 'Added what a peer knows of the topic.'
        : 'Took the state of the topic from a peer.',
    );
    for (const position of earlier) this.earlier.add(position, now);
    if (this.hasSnapshot) {
      const isUnread = ({standing, offset}: KnownRecord) =>
        standing === undefined && offset >= this.changes.end;
      this.add(records.filter(record => !isUnread(record)));
      this.changes.addEarly(this.add(records.filter(isUnread)));
      return Reception.Applied;
    }
    const read = {reader: status.reader, at: now - status.ageMs};
    this.listener.replaced(records, true);
    this.startAt(status.end);
    this.noteRead(read, now);
    this.noteCurrent(read.at, read.reader);
    this.options.learned(Learned.Changes, LearnedFrom.Peer);
    return Reception.Applied;
  }

  /** Starts anew as the epoch has risen. Returns whether it was known before. */
  restart(): boolean {
    if (!this.hasSnapshot && !this.isRestarting) return false;
    this.loseSnapshot();
    this.awaitsEpoch = true;
    this.schedule.restart(this.options.timer.now());
    return true;
  }

  /** Keeps what is known, but none of the offsets. */
  loseSnapshot(): void {
    if (this.hasSnapshot) {
      const {end, changedTo} = this.changes;
      const position = {epoch: this.epoch, end, changedTo, ageMs: 0};
      this.earlier.add(position, this.options.timer.now());
    }
    this.hasSnapshot = false;
    this.isRestarting = true;
    this.changes.restart(0);
    this.age.interrupt();
  }

  /**
   * Applies a snapshot of the current epoch. One that ends before what is known,
   * as peers may have told during the call, is discarded. The read began at
   * `since`. Returns whether it was applied.
   */
  applySnapshot({records, end}: Snapshot, since: number): boolean {
    const {topic, logger, epochs} = this.options;
    const known = this.changes.end;
    if (end < known) {
      logger.warn(
        {event: LogEvent.Store, topic, end, known},
        'Discarded a snapshot older than the records already read.',
      );
      return false;
    }
    logger.info(
      {
        event: LogEvent.Store,
        topic,
        epoch: epochs.current,
        records: records.length,
        end,
      },
      'Took a snapshot of the topic.',
    );
    const mayBeOutdated = this.earlierPositions().length > 0;
    const changed = this.listener.replaced(records, mayBeOutdated);
    const wasRestarting = this.isRestarting;
    this.noteOwnRead(since);
    if (this.hasSnapshot) this.appendSnapshot(changed, end);
    else this.startAt(end);
    if (wasRestarting) {
      this.options.learned(Learned.Changes, LearnedFrom.Store);
    }
    return true;
  }

  /**
   * Applies the result of a read from the offset `from`, which began at `since`.
   * Returns whether it is only a part of the records that the store has.
   */
  applyRecords(
    page: Extract<FeedPage, {type: 'records'}>,
    from: number,
    since: number,
  ): boolean {
    // Peers may have told of some of the records during the call.
    const known = this.changes.end;
    const end = Math.max(known, from + page.records.length);
    const changed = this.add(
      page.records.filter(({offset}) => offset >= known),
    );
    this.changes.append(changed, end);
    const isPart = end < page.end;
    if (!isPart) this.noteOwnRead(since);
    this.options.learned(
      changed.length > 0 ? Learned.Changes : Learned.Freshness,
      LearnedFrom.Store,
    );
    return isPart;
  }

  /** Passes on what a snapshot changed in place of the records it replaces. */
  private appendSnapshot(changed: KeyedRecord[], end: number): void {
    if (end === this.changes.end) return;
    const offset = end - 1;
    const changes = changed.map(record => ({...record, offset}));
    this.changes.append(changes, end);
    this.options.learned(Learned.Changes, LearnedFrom.Store);
  }

  /** Continues from an offset of the current epoch. */
  private startAt(end: number): void {
    this.changes.restart(end);
    this.epoch = this.options.epochs.current;
    this.hasSnapshot = true;
    this.isRestarting = false;
    this.awaitsEpoch = false;
  }

  /** Passes new records on; returns those that changed something. */
  private add(records: KnownRecord[]): KeyedRecord[] {
    return records.length === 0 ? [] : this.listener.added(records);
  }

  /** Notes that a read of this instance has reached the end of the topic. */
  private noteOwnRead(since: number): void {
    const {timer, instance} = this.options;
    const now = timer.now();
    this.noteCurrent(now, instance, since);
    this.noteRead({reader: instance, at: now}, now);
  }

  private noteRead(read: KnownRead, now: number): void {
    const {topic, logger} = this.options;
    const wasReader = this.isReader();
    this.schedule.noteRead(read, now);
    if (this.isReader() === wasReader) return;
    logger.info(
      {event: LogEvent.Store, topic, reader: read.reader, ageMs: this.ageMs()},
      this.isReader()
        ? 'Reading the topic for the fleet.'
        : 'Another instance reads the topic for the fleet.',
    );
  }

  /** Notes that the topic was known to be current at `at`. */
  private noteCurrent(at: number, reader: string, since = at): void {
    if (this.age.noteCurrent(at, reader, since)) this.mustRead = false;
  }
}
