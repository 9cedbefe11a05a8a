import {LogEvent} from '../telemetry/logevent.js';
import type {Logger} from 'pino';
import type {Subscription, Timer} from '../timer/index.js';
import type {Feed, FeedFailure, KeyedRecord, Topic} from './feed.js';

/** Pause after the first failed call, in ms; doubles with each failure. */
const MIN_RETRY_DELAY_MS = 100;
/**
 * Longest pause after failed calls, in ms; well below the ages at which
 * configurations and entries are stale.
 */
const MAX_RETRY_DELAY_MS = 600;
/** Pause after a snapshot older than the records already read, in ms. */
const STALE_SNAPSHOT_DELAY_MS = 250;
/** Jitter as a share of a pause, so that instances do not call in step. */
const JITTER_SHARE = 0.3;

/** Receives the records that a [[Follower]] reads. */
export interface FollowerListener {
  /** Called with a snapshot: the newest record of every key. */
  replaced(records: KeyedRecord[]): void;
  /** Called with new records, in the order of the topic. */
  added(records: KeyedRecord[]): void;
}

/** Dependencies and timing of a [[Follower]]. */
export interface FollowerOptions {
  feed: Feed;
  topic: Topic;
  timer: Timer;
  logger: Logger;
  /** Returns a random number in [0, 1). */
  random: () => number;
  /** Pause between a read that found records and the next one, in ms. */
  readPauseMs: number;
  /** Longest wait of a read for new records, in ms. */
  waitMs: number;
}

/**
 * Follows a keyed topic: takes a snapshot, then reads every record after it.
 * Never moves backwards: a snapshot that ends before the offset already read
 * is stale and is discarded.
 */
export class Follower {
  /** Offset of the next read; undefined before the first snapshot. */
  private nextOffset?: number;
  /** Calls that failed since the last success. */
  private failures = 0;
  private lastResponseAt?: number;
  /** When the current run of successful calls began. */
  private reachableSince?: number;
  /** Ends the current pause early. */
  private pauseController?: AbortController;
  private readonly stopController = new AbortController();
  private loop?: Promise<void>;

  constructor(
    private readonly options: FollowerOptions,
    private readonly listener: FollowerListener,
  ) {}

  /** Starts following, until the subscription ends. */
  start(): Subscription {
    this.loop ??= this.follow();
    return {end: () => this.stopController.abort()};
  }

  /** Ms since the last successful call; undefined before the first one. */
  ageMs(): number | undefined {
    return this.lastResponseAt === undefined
      ? undefined
      : Math.round(this.options.timer.now() - this.lastResponseAt);
  }

  /** Ms since calls began to succeed without a failure; 0 while they fail. */
  reachableForMs(): number {
    return this.reachableSince === undefined
      ? 0
      : this.options.timer.now() - this.reachableSince;
  }

  /** Ends the current pause, for example after the process was suspended. */
  wake(): void {
    this.pauseController?.abort();
  }

  private async follow(): Promise<void> {
    while (!this.stopController.signal.aborted) {
      const pauseMs =
        this.nextOffset === undefined
          ? await this.loadSnapshot()
          : await this.readNext(this.nextOffset);
      if (pauseMs > 0) await this.pause(pauseMs);
    }
  }

  private async pause(ms: number): Promise<void> {
    this.pauseController = new AbortController();
    const jitter = 1 + JITTER_SHARE * (this.options.random() - 0.5);
    await this.options.timer.sleep(
      ms * jitter,
      AbortSignal.any([
        this.pauseController.signal,
        this.stopController.signal,
      ]),
    );
  }

  /**
   * Takes a snapshot, which must not end before `minEnd`. Returns the pause
   * before the next call, in ms.
   */
  private async loadSnapshot(minEnd = 0): Promise<number> {
    const {feed, topic, logger} = this.options;
    const result = await feed.snapshot(topic);
    if (result.isErr()) return this.recordFailure('snapshot', result.error);
    this.recordSuccess();
    const {records, end} = result.value;
    if (end < minEnd) {
      logger.warn(
        {event: LogEvent.Store, topic, end, known: minEnd},
        'Discarded a snapshot older than the records already read.',
      );
      return STALE_SNAPSHOT_DELAY_MS;
    }
    this.nextOffset = end;
    logger.info(
      {event: LogEvent.Store, topic, records: records.length, end},
      'Took a snapshot of the topic.',
    );
    this.listener.replaced(records);
    return 0;
  }

  /** Reads new records; returns the pause before the next call, in ms. */
  private async readNext(from: number): Promise<number> {
    const {feed, topic, waitMs, readPauseMs, logger} = this.options;
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
        return this.loadSnapshot(from);
      case 'records':
        if (page.records.length === 0) return 0;
        this.nextOffset = from + page.records.length;
        this.listener.added(page.records);
        return readPauseMs;
    }
  }

  private recordSuccess(): void {
    const {timer, topic, logger} = this.options;
    const now = timer.now();
    if (this.failures > 0) {
      logger.info(
        {event: LogEvent.Store, topic, failures: this.failures},
        'Store responds again.',
      );
    }
    this.failures = 0;
    this.lastResponseAt = now;
    this.reachableSince ??= now;
  }

  /** Returns the pause before the next call, in ms. */
  private recordFailure(call: string, failure: FeedFailure): number {
    const {topic, logger} = this.options;
    this.reachableSince = undefined as number | undefined;
    this.failures++;
    if (this.failures === 1) {
      logger.warn(
        {event: LogEvent.Store, topic, call, failure, ageMs: this.ageMs()},
        'Call to the store failed; continuing with the last known records.',
      );
    }
    return Math.min(
      MAX_RETRY_DELAY_MS,
      MIN_RETRY_DELAY_MS * 2 ** (this.failures - 1),
    );
  }
}
