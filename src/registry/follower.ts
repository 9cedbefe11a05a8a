import {LogEvent} from '../telemetry/logevent.js';
import type {FollowerListener} from './followerlistener.js';
import type {Subscription} from '../timer/index.js';
import {CallRetries, type CallFailure} from './callretries.js';
import type {Feed, FeedPage, Topic} from './feed.js';
import {ReadSchedule, type ReadTiming} from './readschedule.js';
import {MAX_TOPIC_BYTES, TopicContent} from './topiccontent.js';
import {TopicReplica, type TopicReplicaOptions} from './topicreplica.js';

/** Pause after a snapshot older than the records already read, in ms. */
const STALE_SNAPSHOT_DELAY_MS = 250;
/**
 * Most bytes of a read. A response that takes longer than the time of its call
 * is lost and asked for again; what has been missed grows meanwhile.
 */
const MAX_READ_BYTES = 128 * 1024;
/** Jitter as a share of a pause, so that instances do not call in step. */
const JITTER_SHARE = 0.3;
/** Shortest pause, in ms. */
const MIN_PAUSE_MS = 1;

/** Dependencies and timing of a [[Follower]]. */
export interface FollowerOptions extends TopicReplicaOptions, ReadTiming {
  feed: Feed;
  /** Returns a random number in [0, 1). */
  random: () => number;
  /** Rank of an instance in the order in which they read this topic. */
  rankOf(instance: string): number;
  /** Most memory for the newest records of all keys, in bytes. */
  maxTopicBytes?: number;
}

/**
 * Follows a keyed topic: takes a snapshot, then reads every change after it, as
 * far as peers don't tell of them. [[ReadSchedule]] decides when to call the
 * store, and [[TopicReplica]] what becomes of the answers.
 */
export class Follower {
  /** What is known of the topic. */
  readonly replica: TopicReplica;
  private readonly content: TopicContent;
  private readonly retries: CallRetries;
  /** Whether the next call takes a snapshot, as what was read is too much. */
  private mustReload = false;
  /** Ends the current pause early. */
  private pauseController?: AbortController;
  /** Ends the wait for a read of an epoch that has ended. */
  private readController?: AbortController;
  private readonly stopController = new AbortController();
  private loop?: Promise<void>;

  constructor(
    private readonly options: FollowerOptions,
    listener: FollowerListener,
  ) {
    const {instance, readPauseMs, waitMs, topic, logger} = options;
    const {maxTopicBytes = MAX_TOPIC_BYTES} = options;
    const schedule = new ReadSchedule(instance, {readPauseMs, waitMs}, name =>
      options.rankOf(name),
    );
    this.content = new TopicContent(listener, maxTopicBytes);
    this.replica = new TopicReplica(options, this.content, schedule);
    this.retries = new CallRetries(topic, logger, () =>
      options.rankOf(instance),
    );
  }

  /** Starts following, until the subscription ends. */
  start(): Subscription {
    const subscription = this.options.epochs.subscribe(() => this.restart());
    this.loop ??= this.follow();
    return {
      end: () => {
        subscription.end();
        this.stopController.abort();
      },
    };
  }

  /** Ms since the topic was known to be current; undefined before. */
  ageMs(): number | undefined {
    return this.replica.ageMs();
  }

  /** Whether this instance reads the topic for the others. */
  isReader(): boolean {
    return this.replica.isReader();
  }

  /** Ms since the topic has been current without a long gap; 0 if it isn't. */
  reachableForMs(): number {
    return this.replica.reachableForMs();
  }

  /** See [[TopicReplica.servedForMs]]. */
  servedForMs(): number {
    return this.replica.servedForMs();
  }

  /** See [[TopicReplica.isReadSince]]. */
  isReadSince(at: number): boolean {
    return this.replica.isReadSince(at);
  }

  /**
   * Makes this instance read the store itself, for example after the process
   * was suspended, when the ages of received messages can't be trusted.
   */
  wake(): void {
    this.replica.distrust();
    this.pauseController?.abort();
  }

  /** Starts anew as the epoch has risen. Returns the topic if it was known. */
  private restart(): Topic | undefined {
    if (!this.replica.restart()) return undefined;
    this.readController?.abort();
    this.pauseController?.abort();
    return this.options.topic;
  }

  private async follow(): Promise<void> {
    const {replica} = this;
    while (!this.stopController.signal.aborted) {
      const delayMs = replica.delayUntilReadMs();
      if (delayMs > 0) {
        await this.pause(delayMs);
        continue;
      }
      const canRead = replica.isStarted && !this.mustReload;
      this.mustReload = false;
      const pauseMs = canRead
        ? await this.readNext(MAX_READ_BYTES)
        : await this.loadSnapshot();
      if (pauseMs > 0) await this.pause(pauseMs);
    }
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

  /** Takes a snapshot; returns the pause before the next call, in ms. */
  private async loadSnapshot(): Promise<number> {
    const {feed, topic, epochs, timer} = this.options;
    const since = timer.now();
    const wasStarted = this.replica.isStarted;
    const result = epochs.observe(await feed.snapshot(topic));
    if (result.isErr()) return this.recordFailure('snapshot', result.error);
    const {epoch} = result.value;
    if (epoch < epochs.current) return this.recordOutdated('snapshot', epoch);
    this.retries.recordSuccess();
    // A peer told the state meanwhile. What a snapshot removes can be told to
    // others only by those that knew it; the records after the state tell all.
    if (!wasStarted && this.replica.isStarted) return 0;
    const isApplied = this.replica.applySnapshot(result.value, since);
    return isApplied ? 0 : STALE_SNAPSHOT_DELAY_MS;
  }

  /** Reads new records; returns the pause before the next call, in ms. */
  private async readNext(maxBytes?: number): Promise<number> {
    const {feed, topic, waitMs, logger, epochs, timer} = this.options;
    const since = timer.now();
    const from = this.replica.end;
    const epoch = epochs.current;
    const result = await this.untilEpochEnds(
      feed
        .read(topic, from, waitMs, maxBytes)
        .then(answer => epochs.observe(answer)),
    );
    // In another epoch, the offset of the read means another record.
    if (result === undefined || epoch !== epochs.current) return 0;
    if (result.isErr()) return this.recordFailure('read', result.error);
    const page = result.value;
    if (page.epoch < epoch) return this.recordOutdated('read', page.epoch);
    switch (page.type) {
      case 'expired':
        this.retries.recordSuccess();
        logger.warn(
          {event: LogEvent.Store, topic, epoch, from, first: page.first},
          'The store lacks the records to read next; taking a snapshot.',
        );
        // The offset is beyond the end, so that it may be given out again.
        if (page.first <= from && from === this.replica.end) {
          this.replica.loseSnapshot();
        }
        return this.loadSnapshot();
      case 'records':
        return this.readOn(page, {from, since, maxBytes});
    }
  }

  /**
   * Applies a page; returns the pause before the next call, in ms. What the store
   * has beyond the page is due at once: calls within calls would all be kept until
   * the last one.
   */
  private readOn(
    page: Extract<FeedPage, {type: 'records'}>,
    read: {from: number; since: number; maxBytes: number | undefined},
  ): number | Promise<number> {
    const {from, since, maxBytes} = read;
    const {replica} = this;
    if (page.records.length === 0 && page.end > replica.end) {
      // The next record alone exceeds the limit of the read.
      if (maxBytes !== undefined) return this.readNext();
      // A page without length that was cut after its header.
      const reason = 'no records before the end of the topic';
      const {epoch} = page;
      return this.recordFailure('read', {type: 'malformed', reason, epoch});
    }
    const unread = page.records.filter(({offset}) => offset >= replica.end);
    if (!this.content.hasRoomFor(unread)) {
      // What follows may remove keys again, which only a snapshot shows.
      this.mustReload = true;
      const {limitBytes} = this.content;
      return this.recordFailure('read', {type: 'topicTooLarge', limitBytes});
    }
    this.retries.recordSuccess();
    if (!replica.applyRecords(page, from, since)) return 0;
    // A snapshot is smaller than a history that replaces each record.
    const isFar = page.end - replica.end > replica.recordCount;
    return isFar ? this.loadSnapshot() : 0;
  }

  /** Resolves like `call`, or to undefined as soon as the epoch ends. */
  private untilEpochEnds<Value>(
    call: Promise<Value>,
  ): Promise<Value | undefined> {
    const controller = new AbortController();
    this.readController = controller;
    return new Promise((resolve, reject) => {
      controller.signal.addEventListener('abort', () => resolve(undefined));
      call.then(resolve, reject);
    });
  }

  private recordFailure(call: string, failure: CallFailure): number {
    return this.retries.recordFailure(call, failure, this.ageMs());
  }

  private recordOutdated(call: string, epoch: number): number {
    const known = this.options.epochs.current;
    return this.recordFailure(call, {type: 'outdated', epoch, known});
  }
}
