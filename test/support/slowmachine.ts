import type {ManualTimer, Subscription, Timer} from '../../src/timer/index.js';

/** A machine in virtual time on which work takes time, so that calls come late. */
export class SlowMachine implements Pick<Timer, 'now' | 'after'> {
  private busyUntil = 0;

  constructor(private readonly timer: ManualTimer) {}

  now(): number {
    return Math.max(this.timer.now(), this.busyUntil);
  }

  /** Takes processor time, in ms. */
  work(ms: number): void {
    this.busyUntil = this.now() + ms;
  }

  after(delayMs: number, listener: () => void): Subscription {
    let ended = false;
    const call = () => {
      if (ended) return;
      const busyMs = this.busyUntil - this.timer.now();
      if (busyMs > 0) this.timer.after(busyMs, call);
      else listener();
    };
    this.timer.after(this.now() + delayMs - this.timer.now(), call);
    return {
      end: () => {
        ended = true;
      },
    };
  }
}
