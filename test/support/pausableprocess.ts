import {err, type Result} from 'neverthrow';
import type {
  Log,
  LogPage,
  LogPosition,
  PlatformFailure,
} from '../../src/platform/index.js';
import type {Subscription, Timer} from '../../src/timer/index.js';

/** Time until an append whose response is lost fails. */
const LOST_RESPONSE_TIMEOUT_MS = 2_000;

/**
 * The timer and the log of one simulated process. While the process is paused,
 * time advances, but timers set by `after` and `sleep` do not fire and calls to
 * the log do not return until it resumes.
 */
export class PausableProcess implements Timer, Log {
  /** Time from an append taking effect to its response, in ms. */
  responseDelayMs = 5;
  /** Decides for each append whether its response is lost. */
  losesResponse = (): boolean => false;
  /** Called on resume; undefined unless the process is paused. */
  private pausedCallbacks?: Array<() => void>;

  constructor(
    private readonly timer: Timer,
    private readonly log: Log,
  ) {}

  pause(): void {
    this.pausedCallbacks ??= [];
  }

  resume(): void {
    const callbacks = this.pausedCallbacks ?? [];
    delete this.pausedCallbacks;
    for (const listener of callbacks) listener();
  }

  now(): number {
    return this.timer.now();
  }

  wallNow(): number {
    return this.timer.wallNow();
  }

  after(delayMs: number, listener: () => void): Subscription {
    let ended = false;
    const fire = () => {
      if (ended) return;
      if (this.pausedCallbacks === undefined) listener();
      else this.pausedCallbacks.push(fire);
    };
    const inner = this.timer.after(delayMs, fire);
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
        subscription.end();
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const subscription = this.after(delayMs, finish);
      signal?.addEventListener('abort', finish, {once: true});
    });
  }

  async append(
    stream: string,
    value: unknown,
  ): Promise<Result<number, PlatformFailure>> {
    await this.untilResumed();
    const appended = await this.log.append(stream, value);
    await this.sleep(this.responseDelayMs);
    if (appended.isErr() || !this.losesResponse()) return appended;
    await this.sleep(LOST_RESPONSE_TIMEOUT_MS);
    return err({type: 'timeout', operation: 'append'});
  }

  async read(
    stream: string,
    position: LogPosition,
  ): Promise<Result<LogPage, PlatformFailure>> {
    const page = await this.log.read(stream, position);
    await this.sleep(1);
    await this.untilResumed();
    return page;
  }

  private async untilResumed(): Promise<void> {
    while (this.pausedCallbacks !== undefined) {
      await new Promise<void>(resolve => this.pausedCallbacks?.push(resolve));
    }
  }
}
