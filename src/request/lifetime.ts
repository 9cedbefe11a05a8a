import type {Timer} from '../timer/index.js';
import type {Failure} from './outcome.js';

/** Ends a request at its deadline, or when its caller has gone. */
export class Lifetime {
  private readonly controller = new AbortController();
  private readonly alarm;
  private readonly leave = () => this.stop({type: 'cancelled'});
  private cause?: Failure;

  constructor(
    timer: Timer,
    deadlineAt: number,
    private readonly gone: AbortSignal,
  ) {
    this.alarm = timer.after(Math.max(0, deadlineAt - timer.now()), () =>
      this.stop({type: 'deadlineExceeded'}),
    );
    if (gone.aborted) this.leave();
    gone.addEventListener('abort', this.leave, {once: true});
  }

  /** Aborts when the request is to be given up. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Why the request was given up; undefined while it was not. */
  get failure(): Failure | undefined {
    return this.cause;
  }

  /** Resolves when the request is given up. */
  async whenAborted(): Promise<void> {
    if (this.signal.aborted) return;
    await new Promise<void>(resolve => {
      this.signal.addEventListener('abort', () => resolve(), {once: true});
    });
  }

  end(): void {
    this.alarm.end();
    this.gone.removeEventListener('abort', this.leave);
  }

  private stop(cause: Failure): void {
    this.cause ??= cause;
    this.controller.abort();
  }
}
