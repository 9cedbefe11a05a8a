import {err, ok, type Result} from 'neverthrow';
import type {Logger} from 'pino';
import type {
  Log,
  LogPage,
  LogRecord,
  PlatformFailure,
} from '../platform/index.js';
import type {Timer} from '../timer/index.js';
import {LEASE_STREAM, type LeaseRecord} from './record.js';
import {LeaseTable} from './table.js';

const POLL_WAIT_MS = 1_500;
const RETRY_DELAY_MS = 500;
/** Records before the end of the stream that a new reader starts at. */
const START_BACKLOG = 200;

/** Follows [[LEASE_STREAM]] with one reading task. */
export class LeaseFollower {
  /** Whether the last read succeeded; each outage is logged once. */
  readable = true;
  /** Monotonic ms since which every read succeeded. */
  readableSince = 0;
  private register?: LeaseTable;
  private next = 0;
  private waiting: Array<() => void> = [];
  /** Offsets of own records, by their ids, until they are read back. */
  private readonly own = new Map<string, number | undefined>();
  private stopping = new AbortController();
  private running = false;

  constructor(
    private readonly log: Log,
    private readonly timer: Timer,
    private readonly logger: Logger,
  ) {}

  /** The state of all leases; undefined until the stream could be read. */
  current(): LeaseTable | undefined {
    return this.register;
  }

  /** Offset of the last record read. */
  get lastOffset(): number {
    return this.next - 1;
  }

  /** Starts reading, near the end of the stream. */
  start(): void {
    if (this.running) return;
    this.running = true;
    this.stopping = new AbortController();
    this.readableSince = this.timer.now();
    void this.follow(this.stopping.signal);
  }

  /** Stops reading and forgets what was read. */
  stop(): void {
    this.running = false;
    this.stopping.abort();
    delete this.register;
    this.wake();
  }

  /**
   * Appends a record and waits until it is read back, which tells its offset
   * also when the log's answer was lost. After a failure other than `refused`
   * the record may still turn up in the stream.
   */
  async append(
    record: LeaseRecord,
    timeoutMs: number,
  ): Promise<Result<number, PlatformFailure>> {
    this.own.set(record.id, undefined);
    const end = this.timer.now() + timeoutMs;
    const appended = await this.log.append(LEASE_STREAM, record);
    if (appended.isErr() && appended.error.type === 'refused') {
      this.own.delete(record.id);
      return err(appended.error);
    }
    const offset = await this.readBack(record.id, end);
    this.own.delete(record.id);
    if (offset !== undefined) return ok(offset);
    return err({type: 'timeout', operation: 'read back'});
  }

  private async readBack(id: string, end: number): Promise<number | undefined> {
    const {signal} = this.stopping;
    while (this.own.get(id) === undefined) {
      const leftMs = end - this.timer.now();
      if (signal.aborted || leftMs <= 0) return undefined;
      await this.nextPage(leftMs);
    }
    return this.own.get(id);
  }

  /** Resolves after the next page, or after `timeoutMs`. */
  private nextPage(timeoutMs: number): Promise<void> {
    return new Promise(resolve => {
      const alarm = this.timer.after(timeoutMs, resolve);
      this.waiting.push(() => {
        alarm.end();
        resolve();
      });
    });
  }

  private async follow(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const page = await this.read();
      if (signal.aborted) return;
      if (page.isErr()) {
        if (this.readable) {
          this.logger.warn({failure: page.error}, 'Log not readable.');
        }
        this.readable = false;
        await this.timer.sleep(RETRY_DELAY_MS, signal);
        this.readableSince = this.timer.now();
        continue;
      }
      this.readable = true;
      this.apply(page.value);
      this.wake();
    }
  }

  private read() {
    return this.register === undefined
      ? this.log.read(LEASE_STREAM, {from: 0, limit: 1})
      : this.log.read(LEASE_STREAM, {from: this.next, waitMs: POLL_WAIT_MS});
  }

  private apply({records, first, next}: LogPage): void {
    if (this.register === undefined) {
      this.open(Math.max(first, next - START_BACKLOG));
      return;
    }
    if (first > this.next) {
      this.logger.warn({first, next: this.next}, 'Records were dropped.');
      this.open(first);
      return;
    }
    for (const record of records) {
      if (record.offset < this.next) continue;
      this.next = record.offset + 1;
      this.applyRecord(this.register, record);
    }
  }

  private applyRecord(register: LeaseTable, record: LogRecord): void {
    const applied = register.apply(record, this.timer.now());
    if (applied === undefined) {
      this.logger.warn({offset: record.offset}, 'Record is malformed.');
      return;
    }
    if (this.own.has(applied.id)) this.own.set(applied.id, record.offset);
  }

  private open(start: number): void {
    this.next = start;
    this.register = new LeaseTable(start, this.timer.now());
  }

  private wake(): void {
    for (const resolve of this.waiting.splice(0)) resolve();
  }
}
