import {LogEvent} from '../telemetry/event.js';
import type {Logger} from 'pino';
import type {Subscription, Timer} from '../timer/index.js';
import type {Feed, FeedFailure, KeyedRecord, Topic} from './feed.js';

/** First pause after a failed call, in ms; doubles with each failure. */
const RETRY_MS = 100;
/** Longest pause after failed calls, in ms; well below the bounds on age. */
const RETRY_LIMIT_MS = 600;
/** Pause after a snapshot older than what is known, in ms. */
const STALE_PAUSE_MS = 250;
/** Spread of pauses, so that instances do not call together. */
const JITTER_SHARE = 0.3;

/** What a [[Follower]] reports. */
export interface FollowerListener {
  /** Every key there is, with its newest record. */
  replaced(records: KeyedRecord[]): void;
  /** Records in the order of the log. */
  added(records: KeyedRecord[]): void;
}

/** How a topic is followed. */
export interface FollowerSpec {
  feed: Feed;
  topic: Topic;
  timer: Timer;
  logger: Logger;
  random: () => number;
  /** Pause between a read that found records and the next one, in ms. */
  paceMs: number;
  /** Longest wait of a read for new records, in ms. */
  waitMs: number;
}

/**
 * Follows a keyed topic: one snapshot, then every record after it. Reads never
 * go back: a snapshot that ends before the known position is stale and is
 * dropped.
 */
export class Follower {
  private position?: number;
  private failures = 0;
  private lastAt?: number;
  private reachableFrom?: number;
  private nap?: AbortController;
  private readonly ending = new AbortController();
  private task?: Promise<void>;

  constructor(
    private readonly spec: FollowerSpec,
    private readonly listener: FollowerListener,
  ) {}

  /** Starts following. */
  start(): Subscription {
    this.task ??= this.follow();
    return {end: () => this.ending.abort()};
  }

  /** Ms since the store last answered; undefined before its first answer. */
  ageMs(): number | undefined {
    return this.lastAt === undefined
      ? undefined
      : Math.round(this.spec.timer.now() - this.lastAt);
  }

  /** Ms for which the store has answered without a failure; 0 while it fails. */
  steadyMs(): number {
    return this.reachableFrom === undefined
      ? 0
      : this.spec.timer.now() - this.reachableFrom;
  }

  /** Reads at once, such as after the process stood still. */
  wake(): void {
    this.nap?.abort();
  }

  private async follow(): Promise<void> {
    while (!this.ending.signal.aborted) {
      const pauseMs =
        this.position === undefined
          ? await this.load()
          : await this.advance(this.position);
      if (pauseMs > 0) await this.pause(pauseMs);
    }
  }

  private async pause(ms: number): Promise<void> {
    this.nap = new AbortController();
    const spread = 1 + JITTER_SHARE * (this.spec.random() - 0.5);
    await this.spec.timer.sleep(
      ms * spread,
      AbortSignal.any([this.nap.signal, this.ending.signal]),
    );
  }

  /** Takes a snapshot; returns the pause before the next call. */
  private async load(known = 0): Promise<number> {
    const {feed, topic, logger} = this.spec;
    const result = await feed.snapshot(topic);
    if (result.isErr()) return this.failed('snapshot', result.error);
    this.succeeded();
    const {records, end} = result.value;
    if (end < known) {
      logger.warn(
        {event: LogEvent.Store, topic, end, known},
        'Snapshot is older than what is known and was dropped.',
      );
      return STALE_PAUSE_MS;
    }
    this.position = end;
    logger.info(
      {event: LogEvent.Store, topic, records: records.length, end},
      'Took a snapshot of the topic.',
    );
    this.listener.replaced(records);
    return 0;
  }

  private async advance(from: number): Promise<number> {
    const {feed, topic, waitMs, paceMs, logger} = this.spec;
    const result = await feed.read(topic, from, waitMs);
    if (result.isErr()) return this.failed('read', result.error);
    this.succeeded();
    const page = result.value;
    switch (page.type) {
      case 'expired':
        logger.warn(
          {event: LogEvent.Store, topic, from, first: page.first},
          'Records were dropped before they were read; taking a snapshot.',
        );
        return this.load(from);
      case 'records':
        if (page.records.length === 0) return 0;
        this.position = from + page.records.length;
        this.listener.added(page.records);
        return paceMs;
    }
  }

  private succeeded(): void {
    const {timer, topic, logger} = this.spec;
    const now = timer.now();
    if (this.failures > 0) {
      logger.info(
        {event: LogEvent.Store, topic, failures: this.failures},
        'Store answers again.',
      );
    }
    this.failures = 0;
    this.lastAt = now;
    this.reachableFrom ??= now;
  }

  private failed(call: string, failure: FeedFailure): number {
    const {topic, logger} = this.spec;
    this.reachableFrom = undefined as number | undefined;
    this.failures++;
    if (this.failures === 1) {
      logger.warn(
        {event: LogEvent.Store, topic, call, failure, ageMs: this.ageMs()},
        'Store did not answer; going on with what is known.',
      );
    }
    return Math.min(RETRY_LIMIT_MS, RETRY_MS * 2 ** (this.failures - 1));
  }
}
