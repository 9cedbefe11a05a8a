import type {Subscription, Timer} from '../timer/index.js';

/** Why the work on a request was stopped. */
export enum StopCause {
  /** The caller disconnected. */
  Gone = 'gone',
  /** The deadline of the request passed. */
  TimedOut = 'timed_out',
  /** Another upstream took the request over. */
  Replaced = 'replaced',
  /** This instance ends. */
  Stopped = 'stopped',
}

/**
 * Aborts a request at its deadline, when its caller disconnects, or when the
 * instance ends.
 */
export class Deadline {
  private readonly controller = new AbortController();
  private readonly expiryController = new AbortController();
  private readonly timeout: Subscription;
  private readonly onInstanceEnd = () => this.expire(StopCause.Stopped);
  cause?: StopCause;

  /**
   * `at` is the deadline, in monotonic ms; `instanceSignal` aborts when the
   * instance ends.
   */
  constructor(
    timer: Timer,
    readonly at: number,
    private readonly instanceSignal: AbortSignal,
  ) {
    this.timeout = timer.after(Math.max(0, at - timer.now()), () =>
      this.expire(StopCause.TimedOut),
    );
    instanceSignal.addEventListener('abort', this.onInstanceEnd, {once: true});
  }

  /** Aborts when the request is stopped, for whichever cause. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Aborts like `signal`, but not when the caller disconnects. */
  get expirySignal(): AbortSignal {
    return this.expiryController.signal;
  }

  stop(cause: StopCause): void {
    if (this.controller.signal.aborted) return;
    this.cause = cause;
    this.controller.abort(cause);
  }

  /** Stops watching. */
  end(): void {
    this.timeout.end();
    this.instanceSignal.removeEventListener('abort', this.onInstanceEnd);
  }

  private expire(cause: StopCause): void {
    this.stop(cause);
    this.expiryController.abort(cause);
  }
}
