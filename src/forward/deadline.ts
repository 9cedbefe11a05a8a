import type {Subscription, Timer} from '../timer/index.js';

/** Why the work on a request was stopped. */
export enum StopCause {
  /** The caller disconnected. */
  Gone = 'gone',
  /** The deadline of the request passed. */
  TimedOut = 'timed_out',
  /** Another upstream took the request over. */
  Replaced = 'replaced',
}

/** Aborts a request at its deadline or when its caller disconnects. */
export class Deadline {
  private readonly controller = new AbortController();
  private readonly expiryController = new AbortController();
  private readonly timeout: Subscription;
  cause?: StopCause;

  /** `at` is the deadline, in monotonic ms. */
  constructor(
    timer: Timer,
    readonly at: number,
  ) {
    this.timeout = timer.after(Math.max(0, at - timer.now()), () => {
      this.stop(StopCause.TimedOut);
      this.expiryController.abort(StopCause.TimedOut);
    });
  }

  /** Aborts when the request is stopped, for whichever cause. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Aborts at the deadline, also if the caller disconnected before it. */
  get expirySignal(): AbortSignal {
    return this.expiryController.signal;
  }

  stop(cause: StopCause): void {
    if (this.controller.signal.aborted) return;
    this.cause = cause;
    this.controller.abort(cause);
  }

  /** Cancels the time-out. */
  end(): void {
    this.timeout.end();
  }
}
