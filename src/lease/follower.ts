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
/** Distance from the end of the stream at which a new reader starts. */
const START_BACKLOG_RECORDS = 200;

/** Reads [[LEASE_STREAM]] in one loop and applies it to a [[LeaseTable]]. */
export class LeaseFollower {
  /** Whether the last read succeeded. Each outage is logged once. */
  readable = true;
  /** Start of the latest period without failed reads, in monotonic ms. */
  readableSince = 0;
  private table?: LeaseTable;
  private nextOffset = 0;
  private pageWaiters: Array<() => void> = [];
  /**
   * Ids of the records this process is appending; each has its offset once the
   * record has been read back.
   */
  private readonly offsets = new Map<string, number | undefined>();
  private stopController = new AbortController();
  private running = false;

  constructor(
    private readonly log: Log,
    private readonly timer: Timer,
    private readonly logger: Logger,
  ) {}

  /** The state of all leases; undefined until a read has succeeded. */
  current(): LeaseTable | undefined {
    return this.table;
  }

  /** The stream has been read up to and including this offset. */
  get lastOffset(): number {
    return this.nextOffset - 1;
  }

  /** Starts reading near the end of the stream. */
  start(): void {
    if (this.running) return;
    this.running = true;
    this.stopController = new AbortController();
    this.readableSince = this.timer.now();
    void this.readUntilStopped(this.stopController.signal);
  }

  /** Stops reading and discards the lease table. */
  stop(): void {
    this.running = false;
    this.stopController.abort();
    delete this.table;
    this.resolvePageWaiters();
  }

  /**
   * Appends a record and returns its offset once it has been read back, so
   * that a lost response of the log does no harm. After a failure other than
   * `refused` the record may still appear in the stream.
   */
  async append(
    record: LeaseRecord,
    timeoutMs: number,
  ): Promise<Result<number, PlatformFailure>> {
    this.offsets.set(record.id, undefined);
    const deadline = this.timer.now() + timeoutMs;
    const appended = await this.log.append(LEASE_STREAM, record);
    if (appended.isErr() && appended.error.type === 'refused') {
      this.offsets.delete(record.id);
      return err(appended.error);
    }
    const offset = await this.readBack(record.id, deadline);
    this.offsets.delete(record.id);
    if (offset !== undefined) return ok(offset);
    return err({type: 'timeout', operation: 'read back'});
  }

  private async readBack(
    id: string,
    deadline: number,
  ): Promise<number | undefined> {
    const {signal} = this.stopController;
    while (this.offsets.get(id) === undefined) {
      const remainingMs = deadline - this.timer.now();
      if (signal.aborted || remainingMs <= 0) return undefined;
      await this.nextPage(remainingMs);
    }
    return this.offsets.get(id);
  }

  /** Resolves when the next page has been applied, or after `timeoutMs`. */
  private nextPage(timeoutMs: number): Promise<void> {
    return new Promise(resolve => {
      const timeout = this.timer.after(timeoutMs, resolve);
      this.pageWaiters.push(() => {
        timeout.end();
        resolve();
      });
    });
  }

  private async readUntilStopped(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const page = await this.read();
      if (signal.aborted) return;
      if (page.isErr()) {
        if (this.readable) {
          this.logger.warn(
            {failure: page.error},
            'Could not read the lease stream; retrying.',
          );
        }
        this.readable = false;
        await this.timer.sleep(RETRY_DELAY_MS, signal);
        this.readableSince = this.timer.now();
        continue;
      }
      this.readable = true;
      this.applyPage(page.value);
      this.resolvePageWaiters();
    }
  }

  private read() {
    return this.table === undefined
      ? this.log.read(LEASE_STREAM, {from: 0, limit: 1})
      : this.log.read(LEASE_STREAM, {
          from: this.nextOffset,
          waitMs: POLL_WAIT_MS,
        });
  }

  private applyPage({records, first, next}: LogPage): void {
    if (this.table === undefined) {
      this.startAt(Math.max(first, next - START_BACKLOG_RECORDS));
      return;
    }
    if (first > this.nextOffset) {
      this.logger.warn(
        {first, next: this.nextOffset},
        'The log dropped lease records before they were read.',
      );
      this.startAt(first);
      return;
    }
    for (const record of records) {
      if (record.offset < this.nextOffset) continue;
      this.nextOffset = record.offset + 1;
      this.applyRecord(this.table, record);
    }
  }

  private applyRecord(table: LeaseTable, record: LogRecord): void {
    const parsed = table.apply(record, this.timer.now());
    if (parsed === undefined) {
      this.logger.warn(
        {offset: record.offset},
        'Ignored a malformed lease record.',
      );
      return;
    }
    if (this.offsets.has(parsed.id)) this.offsets.set(parsed.id, record.offset);
  }

  private startAt(offset: number): void {
    this.nextOffset = offset;
    this.table = new LeaseTable(offset, this.timer.now());
  }

  private resolvePageWaiters(): void {
    for (const resolve of this.pageWaiters.splice(0)) resolve();
  }
}
