import {err, ok, type Result} from 'neverthrow';
import type {
  Log,
  LogPage,
  LogPosition,
  LogRecord,
  PlatformFailure,
} from '../../src/platform/index.js';
import type {Timer} from '../../src/timer/index.js';

/** What becomes of an append while its answer is lost. */
export enum Loss {
  AnswerOnly = 'answerOnly',
  Everything = 'everything',
}

/** A log in memory, with the faults of the platform's. */
export class MemoryLog implements Log {
  down = false;
  /** Applies to appends, one entry each. */
  losses: Loss[] = [];
  /** Records at the end that readers do not see. */
  hidden = 0;
  reads = 0;
  private readonly streams = new Map<string, LogRecord[]>();
  private readonly dropped = new Map<string, number>();

  constructor(private readonly timer: Timer) {}

  append(
    stream: string,
    value: unknown,
  ): Promise<Result<number, PlatformFailure>> {
    const operation = 'append';
    if (this.down) {
      return Promise.resolve(err({type: 'refused', operation, status: 503}));
    }
    const loss = this.losses.shift();
    const records = this.records(stream);
    const offset = this.first(stream) + records.length;
    if (loss !== Loss.Everything) {
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
    if (this.next(stream) <= from) await this.timer.sleep(waitMs);
    const next = this.next(stream);
    const records = this.records(stream)
      .filter(({offset}) => offset >= from && offset < next)
      .slice(0, limit);
    return ok({records, first: this.first(stream), next});
  }

  /** Drops all but the newest `keep` records of a stream. */
  expire(stream: string, keep: number): void {
    const records = this.records(stream);
    const count = Math.max(0, records.length - keep);
    this.dropped.set(stream, this.first(stream) + count);
    records.splice(0, count);
  }

  records(stream: string): LogRecord[] {
    const records = this.streams.get(stream) ?? [];
    this.streams.set(stream, records);
    return records;
  }

  private first(stream: string): number {
    return this.dropped.get(stream) ?? 0;
  }

  private next(stream: string): number {
    const end = this.first(stream) + this.records(stream).length;
    return Math.max(this.first(stream), end - this.hidden);
  }
}
