import {
  sleepWith,
  type ManualTimer,
  type Subscription,
  type Timer,
} from '../../src/timer/index.js';

/**
 * The timer of a simulated instance, which can be suspended or killed. As on a
 * suspended machine, the monotonic clock stands still while the wall clock goes
 * on, and what became due meanwhile happens afterwards.
 */
export class InstanceTimer implements Timer {
  private suspendedAt?: number;
  private suspendedMs = 0;
  private isDead = false;
  private backlog: Array<() => void> = [];

  constructor(private readonly base: ManualTimer) {}

  now(): number {
    return (this.suspendedAt ?? this.base.now()) - this.suspendedMs;
  }

  wallNow(): number {
    return this.base.wallNow();
  }

  after(delayMs: number, listener: () => void): Subscription {
    let ended = false;
    const call = this.base.after(delayMs, () =>
      this.run(() => {
        if (!ended) listener();
      }),
    );
    return {
      end: () => {
        ended = true;
        call.end();
      },
    };
  }

  every(periodMs: number, listener: () => void): Subscription {
    let next: Subscription;
    let ended = false;
    const tick = () => {
      listener();
      if (!ended) next = this.after(periodMs, tick);
    };
    next = this.after(periodMs, tick);
    return {
      end: () => {
        ended = true;
        next.end();
      },
    };
  }

  sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    return sleepWith(this, delayMs, signal);
  }

  get isSuspended(): boolean {
    return this.suspendedAt !== undefined;
  }

  /** Runs what happens to the instance now, or once it is resumed. */
  run(action: () => void): void {
    if (this.isDead) return;
    if (this.suspendedAt === undefined) action();
    else this.backlog.push(action);
  }

  suspend(): void {
    this.suspendedAt ??= this.base.now();
  }

  resume(): void {
    if (this.suspendedAt === undefined) return;
    this.suspendedMs += this.base.now() - this.suspendedAt;
    delete this.suspendedAt;
    for (const action of this.backlog.splice(0)) action();
  }

  /** Ends the instance: nothing happens to it any more. */
  kill(): void {
    this.isDead = true;
    this.backlog = [];
  }
}
