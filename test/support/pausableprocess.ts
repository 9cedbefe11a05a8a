import {err, type Result} from 'neverthrow';
import type {
  Log,
  LogPage,
  LogPosition,
  PlatformFailure,
} from '../../src/platform/index.js';
import type {Subscription, Timer} from '../../src/timer/index.js';

const LOST_ANSWER_MS = 2_000;

/**
 * The timer and the log as one process sees them. While it is paused, time
 * goes on but none of its alarms ring and none of its calls return.
 */
export class PausableProcess implements Timer, Log {
  /** Time after which an append that took effect is answered. */
  answerDelayMs = 5;
  /** Decides for each append whether its answer is lost. */
  losesAnswer = (): boolean => false;
  private held?: Array<() => void>;

  constructor(
    private readonly timer: Timer,
    private readonly log: Log,
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
    const appended = await this.log.append(stream, value);
    await this.sleep(this.answerDelayMs);
    if (appended.isErr() || !this.losesAnswer()) return appended;
    await this.sleep(LOST_ANSWER_MS);
    return err({type: 'timeout', operation: 'append'});
  }

  async read(
    stream: string,
    position: LogPosition,
  ): Promise<Result<LogPage, PlatformFailure>> {
    const page = await this.log.read(stream, position);
    await this.sleep(1);
    await this.running();
    return page;
  }

  private async running(): Promise<void> {
    while (this.held !== undefined) {
      await new Promise<void>(resolve => this.held?.push(resolve));
    }
  }
}
