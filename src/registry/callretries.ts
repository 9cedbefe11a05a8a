import type {Logger} from 'pino';
import {LogEvent} from '../telemetry/logevent.js';
import type {FeedFailure, Topic} from './feed.js';

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

/** Why a call to the store has to be repeated. */
export type CallFailure =
  | FeedFailure
  /** The newest records of all keys take more memory than a topic may. */
  | {type: 'topicTooLarge'; limitBytes: number}
  /** The answer is of an epoch that has ended. */
  | {type: 'outdated'; epoch: number; known: number};

/** Counts failed calls to the store for a topic, and spaces their retries. */
export class CallRetries {
  /** Calls that failed since the last success. */
  private failures = 0;

  constructor(
    private readonly topic: Topic,
    private readonly logger: Logger,
    /** Rank of this instance in the order in which they read the topic. */
    private readonly rank: () => number,
  ) {}

  recordSuccess(): void {
    const {topic, failures} = this;
    if (failures > 0) {
      this.logger.info(
        {event: LogEvent.Store, topic, failures},
        'Store responds again.',
      );
    }
    this.failures = 0;
  }

  /**
   * Returns the pause before the next call, in ms. `ageMs` is the age of what
   * is known of the topic.
   */
  recordFailure(
    call: string,
    failure: CallFailure,
    ageMs: number | undefined,
  ): number {
    this.failures++;
    if (this.failures === 1) {
      this.logger.warn(
        {event: LogEvent.Store, topic: this.topic, call, failure, ageMs},
        'Call to the store failed; continuing with the last known records.',
      );
    }
    const limitMs =
      this.rank() < EAGER_RETRIES
        ? MAX_RETRY_DELAY_MS
        : MAX_PATIENT_RETRY_DELAY_MS;
    return Math.min(limitMs, MIN_RETRY_DELAY_MS * 2 ** (this.failures - 1));
  }
}
