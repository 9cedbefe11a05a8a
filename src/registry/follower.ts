import {LogEvent} from '../telemetry/logevent.js';
import type {Logger} from 'pino';
import type {Subscription, Timer} from '../timer/index.js';
import {ChangeLog} from './changelog.js';
import type {Feed, FeedFailure, KeyedRecord, Topic} from './feed.js';
import {ReadSchedule, type KnownRead, type ReadTiming} from './readschedule.js';
import {
  Learned,
  LearnedFrom,
  Reception,
  type Changes,
  type TopicStatus,
} from './topicstatus.js';

/** Pause after the first failed call, in ms; doubles with each failure. */
const MIN_RETRY_DELAY_MS = 100;
/**
 * Longest pause after failed calls, in ms; well below the ages at which
 * configurations and entries are stale.
 */
const MAX_RETRY_DELAY_MS = 600;
/**
 * The same for instances beyond [[EAGER_RETRIES]], in ms. They learn from the
 * others that the store is back; their own attempts find out whether the store
 * serves them when it refuses the others.
 */
const MAX_PATIENT_RETRY_DELAY_MS = 2_000;
/** Number of instances, by rank, that retry at short intervals. */
const EAGER_RETRIES = 8;
/** Pause after a snapshot older than the records already read, in ms. */
const STALE_SNAPSHOT_DELAY_MS = 250;
/** Jitter as a share of a pause, so that instances do not call in step. */
const JITTER_SHARE = 0.3;
/** Shortest pause, in ms. */
const MIN_PAUSE_MS = 1;
/**
 * Age of a topic above which the store counts as having been unreachable, in
 * ms. Instances that rely on a reader exceed it only when it fails, too.
 */
const MAX_REACHABLE_AGE_MS = 2_500;

/**
 * Time after a suspension in which messages are handled that arrived during it,
 * in ms.
 */
const BACKLOG_MS = 500;

/** Receives the records that a [[Follower]] reads. */
export interface FollowerListener {
  /**
   * Called with a snapshot: the newest record of every key. Returns what it
   * changed, with a record without value for each key that is gone.
   */
  replaced(records: KeyedRecord[]): KeyedRecord[];
  /**
   * Called with new records, in the order of the topic. Returns those that
   * changed something, which the other instances have to know.
   */
  added(records: KeyedRecord[]): KeyedRecord[];
}

/** Dependencies and timing of a [[Follower]]. */
export interface FollowerOptions extends ReadTiming {
  /** Name of this instance. */
  instance: string;
  feed: Feed;
  topic: Topic;
  timer: Timer;
  logger: Logger;
  /** Returns a random number in [0, 1). */
  random: () => number;
  /** Rank of an instance in the order in which they read this topic. */
  rankOf(instance: string): number;
  /** Called when a read has told something that peers should know. */
  learned(news: Learned, source: LearnedFrom): void;
}

/**
 * Follows a keyed topic: takes a snapshot, then applies every change after it,
 * from the store or from peers. [[ReadSchedule]] decides when to read the store.
 * Never moves backwards: what ends before the known offset is discarded.
 */
export class Follower {
  private readonly changes = new ChangeLog();
  private readonly schedule: ReadSchedule;
  private hasSnapshot = false;
  /** Calls that failed since the last success. */
  private failures = 0;
  /** When the topic was last known to be current, in monotonic ms. */
  private currentAt?: number;
  /** Instance whose read told so. */
  private reader = '';
  /** Since when the topic has been current without a long gap. */
  private reachableSince?: number;
  /** Whether what is known may be older than it seems. */
  private mustRead = false;
  /** Until when peers' messages may have waited here unread, in monotonic ms. */
  private distrustedUntil = -Infinity;
  /** Ends the current pause early. */
  private pauseController?: AbortController;
  private readonly stopController = new AbortController();
  private loop?: Promise<void>;

  constructor(
    private readonly options: FollowerOptions,
    private readonly listener: FollowerListener,
  ) {
    const {instance, readPauseMs, waitMs} = options;
    this.schedule = new ReadSchedule(instance, {readPauseMs, waitMs}, name =>
      options.rankOf(name),
    );
  }

  get topic(): Topic {
    return this.options.topic;
  }

  /** Starts following, until the subscription ends. */
  start(): Subscription {
    this.loop ??= this.follow();
    return {end: () => this.stopController.abort()};
  }

  /** Ms since the topic was known to be current; undefined before. */
  ageMs(): number | undefined {
    return this.currentAt === undefined
      ? undefined
      : Math.round(this.options.timer.now() - this.currentAt);
  }

  /** Whether this instance reads the topic for the others. */
  isReader(): boolean {
    return this.schedule.reader === this.options.instance;
  }

  /** Ms since the topic has been current without a long gap; 0 if it isn't. */
  reachableForMs(): number {
    const now = this.options.timer.now();
    if (this.reachableSince === undefined || this.currentAt === undefined) {
      return 0;
    }
    if (now - this.currentAt > MAX_REACHABLE_AGE_MS) return 0;
    return now - this.reachableSince;
  }

  /**
   * Makes this instance read the store itself, for example after the process
   * was suspended, when the ages of received messages can't be trusted.
   */
  wake(): void {
    this.mustRead = true;
    this.distrustedUntil = this.options.timer.now() + BACKLOG_MS;
    this.pauseController?.abort();
  }

  /** What this instance knows; undefined before the first snapshot. */
  status(): TopicStatus | undefined {
    if (!this.hasSnapshot || this.mustRead || this.currentAt === undefined) {
      return undefined;
    }
    const {end, since, changedTo} = this.changes;
    return {
      topic: this.options.topic,
      end,
      since,
      changedTo,
      ageMs: Math.round(this.options.timer.now() - this.currentAt),
      reader: this.reader,
    };
  }

  /** Changes from an offset on; undefined if they are no longer kept. */
  changesFrom(offset: number): KeyedRecord[] | undefined {
    return this.changes.from(offset);
  }

  /** Offset up to which the topic is known. */
  get end(): number {
    return this.changes.end;
  }

  /** Takes the status of a peer, with changes that it sent along. */
  receive(status: TopicStatus, sent?: Changes): Reception {
    const now = this.options.timer.now();
    if (!this.hasSnapshot || now < this.distrustedUntil) {
      return Reception.Ignored;
    }
    const readAt = now - status.ageMs;
    this.noteRead({reader: status.reader, at: readAt}, now);
    const {end} = this.changes;
    if (end < status.changedTo) {
      if (end < status.since) return Reception.Ignored;
      if (sent === undefined || sent.from > end) return Reception.Behind;
      const missing = sent.records.filter(({offset}) => offset >= end);
      // Passed on as received: they may have no effect here but at other peers.
      this.add(missing);
      this.changes.append(missing, status.end);
      this.noteCurrent(readAt, status.reader);
      this.options.learned(Learned.Changes, LearnedFrom.Peer);
      return Reception.Applied;
    }
    if (this.currentAt !== undefined && readAt <= this.currentAt) {
      return Reception.Ignored;
    }
    if (end < status.end) {
      if (end < status.since) return Reception.Ignored;
      this.changes.append([], status.end);
    }
    this.noteCurrent(readAt, status.reader);
    this.options.learned(Learned.Freshness, LearnedFrom.Peer);
    return Reception.Applied;
  }

  private async follow(): Promise<void> {
    while (!this.stopController.signal.aborted) {
      const delayMs = this.delayUntilRead();
      if (delayMs > 0) {
        await this.pause(delayMs);
        continue;
      }
      const pauseMs = this.hasSnapshot
        ? await this.readNext(this.changes.end)
        : await this.loadSnapshot();
      if (pauseMs > 0) await this.pause(pauseMs);
    }
  }

  private delayUntilRead(): number {
    if (!this.hasSnapshot || this.mustRead || this.currentAt === undefined) {
      return 0;
    }
    return this.schedule.delayMs(this.options.timer.now() - this.currentAt);
  }

  private async pause(ms: number): Promise<void> {
    this.pauseController = new AbortController();
    const jitter = 1 + JITTER_SHARE * (this.options.random() - 0.5);
    await this.options.timer.sleep(
      Math.max(MIN_PAUSE_MS, ms * jitter),
      AbortSignal.any([
        this.pauseController.signal,
        this.stopController.signal,
      ]),
    );
  }

  /**
   * Takes a snapshot. It is discarded if it ends before what is known, which
   * peers may have told during the call. Returns the pause before the next call,
   * in ms.
   */
  private async loadSnapshot(): Promise<number> {
    const {feed, topic, logger} = this.options;
    const result = await feed.snapshot(topic);
    if (result.isErr()) return this.recordFailure('snapshot', result.error);
    this.recordSuccess();
    const {records, end} = result.value;
    const known = this.changes.end;
    if (end < known) {
      logger.warn(
        {event: LogEvent.Store, topic, end, known},
        'Discarded a snapshot older than the records already read.',
      );
      return STALE_SNAPSHOT_DELAY_MS;
    }
    logger.info(
      {event: LogEvent.Store, topic, records: records.length, end},
      'Took a snapshot of the topic.',
    );
    const changed = this.listener.replaced(records);
    this.noteOwnRead();
    if (this.hasSnapshot) this.appendSnapshot(changed, end);
    else this.changes.restart(end);
    this.hasSnapshot = true;
    return 0;
  }

  /** Passes on what a snapshot changed in place of the records it replaces. */
  private appendSnapshot(changed: KeyedRecord[], end: number): void {
    if (end === this.changes.end) return;
    const offset = end - 1;
    const changes = changed.map(record => ({...record, offset}));
    this.changes.append(changes, end);
    this.options.learned(Learned.Changes, LearnedFrom.Store);
  }

  /** Reads new records; returns the pause before the next call, in ms. */
  private async readNext(from: number): Promise<number> {
    const {feed, topic, waitMs, logger} = this.options;
    const result = await feed.read(topic, from, waitMs);
    if (result.isErr()) return this.recordFailure('read', result.error);
    this.recordSuccess();
    const page = result.value;
    switch (page.type) {
      case 'expired':
        logger.warn(
          {event: LogEvent.Store, topic, from, first: page.first},
          'Records expired before they were read; taking a snapshot.',
        );
        return this.loadSnapshot();
      case 'records': {
        // Peers may have told of some of the records during the call.
        const known = this.changes.end;
        const end = Math.max(known, from + page.records.length);
        const changed = this.add(
          page.records.filter(({offset}) => offset >= known),
        );
        this.changes.append(changed, end);
        // The store returns a part if there is much to read.
        const isPart = page.records.length > 0 && end < page.end;
        if (!isPart) this.noteOwnRead();
        this.options.learned(
          changed.length > 0 ? Learned.Changes : Learned.Freshness,
          LearnedFrom.Store,
        );
        return isPart ? this.readNext(end) : 0;
      }
    }
  }

  /** Passes new records on; returns those that changed something. */
  private add(records: KeyedRecord[]): KeyedRecord[] {
    return records.length === 0 ? [] : this.listener.added(records);
  }

  private recordSuccess(): void {
    const {topic, logger} = this.options;
    if (this.failures > 0) {
      logger.info(
        {event: LogEvent.Store, topic, failures: this.failures},
        'Store responds again.',
      );
    }
    this.failures = 0;
  }

  /** Notes that a read of this instance has reached the end of the topic. */
  private noteOwnRead(): void {
    const {timer, instance} = this.options;
    const now = timer.now();
    this.noteCurrent(now, instance);
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
  private noteCurrent(at: number, reader: string): void {
    const {currentAt} = this;
    if (currentAt !== undefined && at < currentAt) return;
    if (currentAt === undefined || at - currentAt > MAX_REACHABLE_AGE_MS) {
      this.reachableSince = at;
    }
    this.currentAt = at;
    this.reader = reader;
    this.mustRead = false;
  }

  /** Returns the pause before the next call, in ms. */
  private recordFailure(call: string, failure: FeedFailure): number {
    const {topic, logger, instance} = this.options;
    this.failures++;
    if (this.failures === 1) {
      logger.warn(
        {event: LogEvent.Store, topic, call, failure, ageMs: this.ageMs()},
        'Call to the store failed; continuing with the last known records.',
      );
    }
    const limitMs =
      this.options.rankOf(instance) < EAGER_RETRIES
        ? MAX_RETRY_DELAY_MS
        : MAX_PATIENT_RETRY_DELAY_MS;
    return Math.min(limitMs, MIN_RETRY_DELAY_MS * 2 ** (this.failures - 1));
  }
}
