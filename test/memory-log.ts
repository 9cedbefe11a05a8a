import {err, ok, type Result} from 'neverthrow';
import type {
  Log,
  LogPage,
  LogPosition,
  LogRecord,
  PlatformFailure,
} from '../src/platform/index.js';
import type {Subscription, Timer} from '../src/timer/index.js';

/** A log in memory, shared by the instances of a test. */
export class MemoryLog {
  down = false;
  /** Time after which an append that took effect is answered. */
  answerDelayMs = 5;
  /** Decides for each append whether its answer is lost. */
  losesAnswer = (): boolean => false;
  readonly streams = new Map<string, LogRecord[]>();
  /** Offset below which records have been dropped. */
  first = 0;
  private listeners: Array<() => void> = [];

  records(stream: string): LogRecord[] {
    const records = this.streams.get(stream) ?? [];
    this.streams.set(stream, records);
    return records;
  }

  add(stream: string, value: unknown): number {
    const records = this.records(stream);
    const offset = records.length;
    records.push({offset, time: 0, value});
    for (const listener of this.listeners.splice(0)) listener();
    return offset;
  }

  page(stream: string, from: number, limit: number): LogPage {
    const records = this.records(stream);
    const start = Math.max(from, this.first);
    const page = records.slice(start, start + limit);
    return {records: page, first: this.first, next: records.length};
  }

  onNews(listener: () => void): void {
    this.listeners.push(listener);
  }
}

/**
 * The timer and the log as one process sees them. While it is paused, time
 * goes on but none of its alarms ring and none of its calls return.
 */
export class PausableProcess implements Timer, Log {
  private held?: Array<() => void>;

  constructor(
    private readonly timer: Timer,
    private readonly log: MemoryLog,
  ) {}

  pause(): void {
    this.held ??= [];
  }

  resume(): void {
    const held = this.held ?? [];
    delete this.held;
    for (const listener of held) listener();
  }

  now(): number {
    return this.timer.now();
  }

  wallNow(): number {
    return this.timer.wallNow();
  }

  after(delayMs: number, listener: () => void): Subscription {
    let ended = false;
    const ring = () => {
      if (ended) return;
      if (this.held === undefined) listener();
      else this.held.push(ring);
    };
    const inner = this.timer.after(delayMs, ring);
    return {
      end: () => {
        ended = true;
        inner.end();
      },
    };
  }

  every(periodMs: number, listener: () => void): Subscription {
    return this.timer.every(periodMs, listener);
  }

  sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      const finish = () => {
        alarm.end();
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const alarm = this.after(delayMs, finish);
      signal?.addEventListener('abort', finish, {once: true});
    });
  }

  async append(
    stream: string,
    value: unknown,
  ): Promise<Result<number, PlatformFailure>> {
    await this.running();
    if (this.log.down) return refused('append');
    const offset = this.log.add(stream, value);
    await this.sleep(this.log.answerDelayMs);
    if (this.log.losesAnswer()) {
      await this.sleep(2_000);
      return err({type: 'timeout', operation: 'append'});
    }
    return ok(offset);
  }

  async read(
    stream: string,
    {from, limit = 500, waitMs = 0}: LogPosition,
  ): Promise<Result<LogPage, PlatformFailure>> {
    if (!this.log.down && this.log.records(stream).length <= from) {
      await Promise.race([
        this.sleep(waitMs),
        new Promise<void>(resolve => this.log.onNews(resolve)),
      ]);
    }
    await this.sleep(5);
    await this.running();
    if (this.log.down) return refused('read');
    return ok(this.log.page(stream, from, limit));
  }

  private async running(): Promise<void> {
    while (this.held !== undefined) {
      await new Promise<void>(resolve => this.held?.push(resolve));
    }
  }
}

function refused(operation: string): Result<never, PlatformFailure> {
  return err({type: 'refused', operation, status: 503});
}
