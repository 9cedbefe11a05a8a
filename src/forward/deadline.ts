import type {Subscription, Timer} from '../timer/index.js';

/** Why the work on a request is to stop. */
export enum StopCause {
  /** The caller has gone. */
  Gone = 'gone',
  /** The time of the request is over. */
  TimedOut = 'timed_out',
}

/** Stops the work on a request at its deadline or when its caller goes. */
export class Deadline {
  private readonly controller = new AbortController();
  private readonly alarm: Subscription;
  cause?: StopCause;

  constructor(
    timer: Timer,
    readonly at: number,
  ) {
    this.alarm = timer.after(Math.max(0, at - timer.now()), () =>
      this.stop(StopCause.TimedOut),
    );
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  stop(cause: StopCause): void {
    if (this.controller.signal.aborted) return;
    this.cause = cause;
    this.controller.abort();
  }

  /** Ends the alarm. */
  end(): void {
    this.alarm.end();
  }
}
