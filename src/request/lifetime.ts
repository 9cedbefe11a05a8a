import type {Timer} from '../timer/index.js';
import type {Failure} from './outcome.js';

/** Aborts a request at its deadline, or when its caller disconnects. */
export class Lifetime {
  private readonly controller = new AbortController();
  private readonly deadlineTimer;
  private readonly onCallerGone = () => this.abort({type: 'cancelled'});
  private cause?: Failure;

  constructor(
    timer: Timer,
    deadlineAt: number,
    private readonly callerGone: AbortSignal,
  ) {
    this.deadlineTimer = timer.after(
      Math.max(0, deadlineAt - timer.now()),
      () => this.abort({type: 'deadlineExceeded'}),
    );
    if (callerGone.aborted) this.onCallerGone();
    callerGone.addEventListener('abort', this.onCallerGone, {once: true});
  }

  /** Aborts when the request must stop. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Why the request was aborted; undefined if it was not. */
  get failure(): Failure | undefined {
    return this.cause;
  }

  /** Resolves when the request is aborted. */
  async whenAborted(): Promise<void> {
    if (this.signal.aborted) return;
    await new Promise<void>(resolve => {
      this.signal.addEventListener('abort', () => resolve(), {once: true});
    });
  }

  /** Stops the deadline timer and removes the listener. */
  end(): void {
    this.deadlineTimer.end();
    this.callerGone.removeEventListener('abort', this.onCallerGone);
  }

  private abort(cause: Failure): void {
    this.cause ??= cause;
    this.controller.abort();
  }
}
