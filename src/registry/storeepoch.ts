import type {Result} from 'neverthrow';
import type {Logger} from 'pino';
import {LogEvent} from '../telemetry/logevent.js';
import type {Subscription, Timer} from '../timer/index.js';
import type {FeedFailure, Topic} from './feed.js';
import {LearnedFrom} from './topicstatus.js';

/**
 * Called when the epoch has risen. Returns the topic that the listener reads
 * again, if any.
 */
export type EpochListener = () => Topic | undefined;

/**
 * The newest epoch of the store that this instance has heard of. Offsets of
 * different epochs cannot be compared, so that all that follow a topic start
 * anew when it rises, whichever answer or peer told of it first.
 */
export class StoreEpoch {
  private epoch = 0;
  /** Whether the store or a peer has named an epoch. */
  private isKnown = false;
  /**
   * Since when the store is known to serve in this epoch without a failed call,
   * in monotonic ms; undefined if it isn't.
   */
  private servesSince?: number;
  /** Answers that were broken off here. */
  private brokenOff = 0;
  private readonly listeners = new Set<EpochListener>();

  constructor(
    private readonly logger: Logger,
    private readonly timer: Timer,
  ) {}

  /** The newest known epoch; 0 before any is known. */
  get current(): number {
    return this.epoch;
  }

  /**
   * Ms since the store is known to serve in the current epoch, from its answers
   * or a peer that has read it; 0 if it isn't, or a call has failed since.
   */
  servedForMs(): number {
    const {servesSince, timer} = this;
    return servesSince === undefined ? 0 : timer.now() - servesSince;
  }

  /** Gauges and counters of /metrics, by name. */
  gauges(): Record<string, number> {
    return {
      store_epoch: this.epoch,
      store_answers_broken_off_total: this.brokenOff,
    };
  }

  /** Calls `listener` after each rise, until the subscription ends. */
  subscribe(listener: EpochListener): Subscription {
    this.listeners.add(listener);
    return {end: () => this.listeners.delete(listener)};
  }

  /** Resolves when the epoch has risen once more. */
  nextRise(): Promise<void> {
    return new Promise(resolve => {
      const subscription = this.subscribe(() => {
        subscription.end();
        resolve();
        return undefined;
      });
    });
  }

  /** Takes note of the epoch in an answer of the store, and returns it. */
  observe<Value extends {epoch: number}>(
    answer: Result<Value, FeedFailure>,
  ): Result<Value, FeedFailure> {
    const epoch = answer.match(({epoch}) => epoch, epochOf);
    if (epoch !== undefined) {
      this.learn(epoch, LearnedFrom.Store);
      this.isKnown = true;
    }
    answer.match(
      () => {
        if (epoch === this.epoch) this.servesSince ??= this.timer.now();
      },
      failure => this.noteFailure(failure),
    );
    return answer;
  }

  private noteFailure(failure: FeedFailure): void {
    if (failure.type === 'tooLong') this.brokenOff++;
    const sentAt =
      failure.type === 'timeout'
        ? this.timer.now() - failure.limitMs
        : Infinity;
    // A call from before may time out once the store serves again.
    if (this.servesSince !== undefined && sentAt < this.servesSince) return;
    this.servesSince = undefined;
  }

  /** Takes note of an epoch; one that is not higher changes nothing. */
  learn(epoch: number, source: LearnedFrom): void {
    if (epoch <= this.epoch) return;
    const previous = this.epoch;
    const wasKnown = this.isKnown;
    this.epoch = epoch;
    this.isKnown = true;
    // Peers tell of an epoch only once they have read the store in it.
    this.servesSince =
      source === LearnedFrom.Peer ? this.timer.now() : undefined;
    if (!wasKnown) return;
    const topics = [...this.listeners]
      .map(listener => listener())
      .filter(topic => topic !== undefined);
    this.logger.warn(
      {event: LogEvent.Store, epoch, previous, source, topics},
      'The store returned from an older copy; reading its topics again.',
    );
  }
}

function epochOf(failure: FeedFailure): number | undefined {
  switch (failure.type) {
    case 'unreachable':
    case 'timeout':
    case 'tooLong':
      return undefined;
    case 'refused':
    case 'malformed':
    case 'interrupted':
      return failure.epoch;
  }
}
