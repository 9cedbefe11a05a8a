import {err, ok, type Result} from 'neverthrow';
import type {
  Log,
  LogPage,
  LogPosition,
  LogRecord,
  PlatformFailure,
} from '../../src/platform/index.js';
import type {Timer} from '../../src/timer/index.js';

/** What is lost of an append that times out. */
export enum AppendLoss {
  /** The record is appended, but the caller gets no response. */
  ResponseOnly = 'answerOnly',
  /** The record is not appended and the caller gets no response. */
  RecordAndResponse = 'everything',
}

/** An in-memory log that can fail in the ways that the platform's log does. */
export class MemoryLog implements Log {
  /** Refuses every call. */
  down = false;
  /** Losses of the next appends, one item each. */
  appendLosses: AppendLoss[] = [];
  /** Number of newest records that reads do not return yet. */
  hiddenCount = 0;
  reads = 0;
  private readonly streams = new Map<string, LogRecord[]>();
  /** Offset of the oldest retained record, by stream. */
  private readonly firstOffsets = new Map<string, number>();

  constructor(private readonly timer: Timer) {}

  append(
    stream: string,
    value: unknown,
  ): Promise<Result<number, PlatformFailure>> {
    const operation = 'append';
    if (this.down) {
      return Promise.resolve(err({type: 'refused', operation, status: 503}));
    }
    const loss = this.appendLosses.shift();
    const records = this.records(stream);
    const offset = this.firstOffset(stream) + records.length;
    if (loss !== AppendLoss.RecordAndResponse) {
      const time = this.timer.wallNow();
      records.push({offset, time, value: structuredClone(value)});
    }
    return Promise.resolve(
      loss === undefined ? ok(offset) : err({type: 'timeout', operation}),
    );
  }

  async read(
    stream: string,
    {from, limit = 500, waitMs = 0}: LogPosition,
  ): Promise<Result<LogPage, PlatformFailure>> {
    this.reads++;
    if (this.down) {
      return err({type: 'refused', operation: 'read', status: 503});
    }
    if (this.nextOffset(stream) <= from) await this.timer.sleep(waitMs);
    const next = this.nextOffset(stream);
    const records = this.records(stream)
      .filter(({offset}) => offset >= from && offset < next)
      .slice(0, limit);
    return ok({records, first: this.firstOffset(stream), next});
  }

  /** Drops all but the newest `keep` records of a stream. */
  expire(stream: string, keep: number): void {
    const records = this.records(stream);
    const count = Math.max(0, records.length - keep);
    this.firstOffsets.set(stream, this.firstOffset(stream) + count);
    records.splice(0, count);
  }

  /** All retained records of a stream, including hidden ones. */
  records(stream: string): LogRecord[] {
    const records = this.streams.get(stream) ?? [];
    this.streams.set(stream, records);
    return records;
  }

  private firstOffset(stream: string): number {
    return this.firstOffsets.get(stream) ?? 0;
  }

  private nextOffset(stream: string): number {
    const end = this.firstOffset(stream) + this.records(stream).length;
    return Math.max(this.firstOffset(stream), end - this.hiddenCount);
  }
}
