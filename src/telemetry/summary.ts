import type {Logger} from 'pino';
import {z} from 'zod';
import type {Log} from '../platform/index.js';
import type {Subscription, Timer} from '../timer/index.js';
import {Accumulator, accumulatorSnapshotSchema} from './accumulator.js';
import type {MeteredRecorder, CountedInterval} from './recorder.js';

/** Stream of the platform's log that carries summaries. */
export const SUMMARY_STREAM = 'summaries';
/** Shortest time between two summaries of an instance. */
export const MIN_SUMMARY_PERIOD_MS = 60_000;
/**
 * Time between two summaries for each live instance, which bounds the appends
 * of the whole fleet to one a second.
 */
const PERIOD_PER_INSTANCE_MS = 1_000;
/** Summaries kept for a log that is down; the oldest go first. */
const UNSENT_LIMIT = 60;

/** A record of [[SUMMARY_STREAM]]. */
export const summarySchema = z.object({
  type: z.literal('summary'),
  instance: z.string(),
  incarnation: z.number(),
  /** Counts the summaries of an incarnation from 0, without gaps. */
  sequence: z.number().int().min(0),
  /** Wall-clock ms between which the requests ended. */
  from: z.number(),
  to: z.number(),
  /** Whether the instance shut down after this summary. */
  final: z.boolean(),
  figures: accumulatorSnapshotSchema,
});

/** A record of [[SUMMARY_STREAM]]. */
export type Summary = z.infer<typeof summarySchema>;

/** Identity of the instance that summaries are written for. */
export interface SummaryAuthor {
  instance: string;
  incarnation: number;
}

/** What an instance has not been able to write to the log. */
export interface SummaryBacklog {
  /** Summaries waiting for the log. */
  unsent: number;
  /** Summaries given up because too many were waiting. */
  dropped: number;
}

/** Returns the time between summaries in a fleet of `instances`. */
export function summaryPeriodMs(instances: number): number {
  return Math.max(MIN_SUMMARY_PERIOD_MS, instances * PERIOD_PER_INSTANCE_MS);
}

/**
 * Writes compact summaries of what a recorder counted to the log, so that the
 * share of an instance outlives it. An append whose answer is lost is repeated
 * under the same sequence number; readers count each number once.
 */
export class Summarizer {
  private readonly waiting: Summary[] = [];
  private counts = new Accumulator();
  private from: number;
  private to: number;
  private sequence = 0;
  private dropped = 0;
  private sending?: Promise<void>;
  private tick?: Subscription;

  constructor(
    private readonly author: SummaryAuthor,
    private readonly recorder: MeteredRecorder,
    private readonly log: Log,
    private readonly timer: Timer,
    private readonly logger: Logger,
    private readonly instances: () => number,
  ) {
    this.from = recorder.startedAt;
    this.to = this.from;
    recorder.subscribe(slice => this.take(slice));
  }

  /**
   * Starts writing. The first summary is empty and written at once: it tells
   * readers of an incarnation that may end before it has written another.
   */
  start(): void {
    this.close(false);
    this.flush();
    this.tick = this.timer.every(MIN_SUMMARY_PERIOD_MS, () => this.beat());
  }

  /** What has not reached the log. */
  backlog(): SummaryBacklog {
    return {unsent: this.waiting.length, dropped: this.dropped};
  }

  /** Writes the last summary; makes one attempt at each waiting one. */
  async stop(): Promise<void> {
    this.tick?.end();
    this.recorder.endInterval();
    this.close(true);
    await this.sending;
    await this.send();
  }

  private take({to, counts}: CountedInterval): void {
    this.counts.merge(counts);
    this.to = to;
  }

  private beat(): void {
    this.recorder.endInterval();
    const period = summaryPeriodMs(this.instances());
    // The timer's ticks jitter, so half a tick short of the period counts.
    const elapsed = this.to - this.from + MIN_SUMMARY_PERIOD_MS / 2;
    if (elapsed >= period) this.close(false);
    this.flush();
  }

  private flush(): void {
    this.sending ??= this.send().finally(() => {
      delete this.sending;
    });
  }

  private close(final: boolean): void {
    this.waiting.push({
      type: 'summary',
      ...this.author,
      sequence: this.sequence++,
      from: this.from,
      to: this.to,
      final,
      figures: this.counts.snapshot(),
    });
    this.counts = new Accumulator();
    this.from = this.to;
    if (this.waiting.length <= UNSENT_LIMIT) return;
    this.waiting.shift();
    this.dropped++;
  }

  private async send(): Promise<void> {
    for (;;) {
      const summary = this.waiting[0];
      if (summary === undefined) return;
      const appended = await this.log.append(SUMMARY_STREAM, summary);
      if (appended.isErr()) {
        this.logger.warn({failure: appended.error}, 'Summary not written.');
        return;
      }
      if (this.waiting[0] === summary) this.waiting.shift();
    }
  }
}
