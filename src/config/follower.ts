import type {Logger} from 'pino';
import type {Log, LogRecord} from '../platform/index.js';
import type {Timer} from '../timer/index.js';
import {
  CONFIGURATION_STREAM,
  configurationRecordSchema,
  Ledger,
  type AcceptedConfiguration,
  type Verdict,
} from './ledger.js';

const POLL_WAIT_MS = 1_500;
const RETRY_DELAY_MS = 500;

/** A listener for configurations as they come into force. */
export type ConfigurationListener = (accepted: AcceptedConfiguration) => void;

/**
 * Follows the configuration stream of the log with one reading task, and tells
 * its listeners of every configuration that comes into force, in version order.
 */
export class Follower {
  private readonly ledger = new Ledger();
  private readonly listeners = new Set<ConfigurationListener>();
  private readonly verdicts = new Map<string, Verdict>();
  private readonly stopping = new AbortController();
  private next = 0;
  private task?: Promise<void>;

  constructor(
    private readonly log: Log,
    private readonly timer: Timer,
    private readonly logger: Logger,
  ) {}

  /** The configuration in force here, or undefined before the first. */
  current(): AcceptedConfiguration | undefined {
    return this.ledger.current();
  }

  /** Subscribes to configurations that come into force from now on. */
  subscribe(listener: ConfigurationListener): void {
    this.listeners.add(listener);
  }

  /** The verdict on a submission, if this instance has read it. */
  verdictOn(submission: string): Verdict | undefined {
    return this.verdicts.get(submission);
  }

  /** Offset of the next record to read. */
  position(): number {
    return this.next;
  }

  start(): void {
    this.task ??= this.follow();
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    await this.task;
  }

  private async follow(): Promise<void> {
    const {signal} = this.stopping;
    while (!signal.aborted) {
      const page = await this.log.read(CONFIGURATION_STREAM, {
        from: this.next,
        waitMs: POLL_WAIT_MS,
      });
      if (page.isErr()) {
        this.logger.warn({failure: page.error}, 'Log not readable.');
        await this.timer.sleep(RETRY_DELAY_MS, signal);
        continue;
      }
      for (const record of page.value.records) this.apply(record);
    }
  }

  private apply(record: LogRecord): void {
    this.next = record.offset + 1;
    const parsed = configurationRecordSchema.safeParse(record.value);
    if (!parsed.success) {
      this.logger.warn({offset: record.offset}, 'Record is malformed.');
      return;
    }
    if (parsed.data.type !== 'submission') return;
    const verdict = this.ledger.submit(record.offset, parsed.data);
    this.verdicts.set(verdict.id, verdict);
    if (verdict.type !== 'accepted') {
      this.logger.warn({verdict}, 'Submission refused.');
      return;
    }
    this.logger.info({version: verdict.version}, 'Configuration in force.');
    const accepted = this.ledger.current();
    if (accepted === undefined) return;
    for (const listener of this.listeners) listener(accepted);
  }
}
