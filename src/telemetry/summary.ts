import type {Logger} from 'pino';
import {z} from 'zod';
import type {Log} from '../platform/index.js';
import type {Subscription, Timer} from '../timer/index.js';
import {Accumulator, accumulatorSnapshotSchema} from './accumulator.js';
import type {MeteredRecorder, CountedInterval} from './recorder.js';

/** Stream of the platform's log that holds the summaries. */
export const SUMMARY_STREAM = 'summaries';
/** Shortest time between two summaries of an instance, in ms. */
export const MIN_SUMMARY_PERIOD_MS = 60_000;
/**
 * Time between two summaries of an instance, per live instance, in ms. It limits
 * the whole fleet to one append per second.
 */
const PERIOD_PER_INSTANCE_MS = 1_000;
/** Summaries kept while the log is unavailable; the oldest is dropped first. */
const MAX_UNSENT_SUMMARIES = 60;

/** Schema of the records of [[SUMMARY_STREAM]]. */
export const summarySchema = z.object({
  type: z.literal('summary'),
  instance: z.string(),
  incarnation: z.number(),
  /** Consecutive number within the incarnation, from 0. */
  sequence: z.number().int().min(0),
  /** Start and end of the summarized period, in wall-clock ms. */
  from: z.number(),
  to: z.number(),
  /** Whether this is the last summary before the instance shut down. */
  final: z.boolean(),
  figures: accumulatorSnapshotSchema,
});

/** A record of [[SUMMARY_STREAM]]. */
export type Summary = z.infer<typeof summarySchema>;

/** The instance and incarnation that write a summary. */
export interface SummaryAuthor {
  instance: string;
  incarnation: number;
}

/** Numbers of summaries that an instance has not written to the log. */
export interface SummaryBacklog {
  /** Summaries waiting for the log. */
  unsent: number;
  /** Summaries dropped because too many were waiting. */
  dropped: number;
}

/** Returns the time between summaries in a fleet of `instances`, in ms. */
export function summaryPeriodMs(instances: number): number {
  return Math.max(MIN_SUMMARY_PERIOD_MS, instances * PERIOD_PER_INSTANCE_MS);
}

/**
 * Periodically writes what a recorder has counted to the log, so that the counts
 * of an instance remain available after it ends. An append whose response is
 * lost is retried with the same sequence number; readers count each number once.
 */
export class Summarizer {
  private readonly unsent: Summary[] = [];
  private counts = new Accumulator();
  /** Start and end of the period that is counted, in wall-clock ms. */
  private from: number;
  private to: number;
  private sequence = 0;
  private dropped = 0;
  private sending?: Promise<void>;
  private periodicTimer?: Subscription;

  constructor(
    private readonly author: SummaryAuthor,
    private readonly recorder: MeteredRecorder,
    private readonly log: Log,
    private readonly timer: Timer,
    private readonly logger: Logger,
    private readonly liveInstances: () => number,
  ) {
    this.from = recorder.startedAt;
    this.to = this.from;
    recorder.subscribe(interval => this.addInterval(interval));
  }

  /**
   * Starts writing. An empty summary is written immediately, so that readers
   * know of an incarnation that ends before its first period is over.
   */
  start(): void {
    this.enqueueSummary(false);
    this.startSending();
    this.periodicTimer = this.timer.every(MIN_SUMMARY_PERIOD_MS, () =>
      this.onTick(),
    );
  }

  /** Summaries that the log has not accepted. */
  backlog(): SummaryBacklog {
    return {unsent: this.unsent.length, dropped: this.dropped};
  }

  /**
   * Writes the final summary and those still unsent. Gives up at the first
   * append that fails.
   */
  async stop(): Promise<void> {
    this.periodicTimer?.end();
    this.recorder.endInterval();
    this.enqueueSummary(true);
    await this.sending;
    await this.sendUnsent();
  }

  private addInterval({to, counts}: CountedInterval): void {
    this.counts.merge(counts);
    this.to = to;
  }

  private onTick(): void {
    this.recorder.endInterval();
    const periodMs = summaryPeriodMs(this.liveInstances());
    // Ticks jitter, so a period that is short by up to half a tick is complete.
    const elapsedMs = this.to - this.from + MIN_SUMMARY_PERIOD_MS / 2;
    if (elapsedMs >= periodMs) this.enqueueSummary(false);
    this.startSending();
  }

  private startSending(): void {
    this.sending ??= this.sendUnsent().finally(() => {
      delete this.sending;
    });
  }

  private enqueueSummary(final: boolean): void {
    this.unsent.push({
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
    if (this.unsent.length <= MAX_UNSENT_SUMMARIES) return;
    this.unsent.shift();
    this.dropped++;
  }

  private async sendUnsent(): Promise<void> {
    for (;;) {
      const summary = this.unsent[0];
      if (summary === undefined) return;
      const appended = await this.log.append(SUMMARY_STREAM, summary);
      if (appended.isErr()) {
        this.logger.warn(
          {failure: appended.error},
          'Could not write a summary.',
        );
        return;
      }
      if (this.unsent[0] === summary) this.unsent.shift();
    }
  }
}
