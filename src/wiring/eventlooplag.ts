import type {Logger} from 'pino';
import type {UpstreamRead} from '../forward/index.js';
import {LogEvent} from '../telemetry/index.js';
import type {Timer} from '../timer/index.js';

/** Time for which the longest delay is kept, in ms. */
const WINDOW_MS = 10_000;
/** Delay from which on it is logged, in ms. */
const LOGGED_DELAY_MS = 250;

/** How late the event loop runs what is due. */
export class EventLoopLag {
  /** Delays of the window that no later one exceeds, the longest first. */
  private readonly delays: Array<{at: number; ms: number}> = [];
  private loggedAt = -Infinity;

  constructor(
    private readonly timer: Pick<Timer, 'now'>,
    private readonly logger: Logger,
  ) {}

  /**
   * Notes a delay. `largest`: the upstream whose answers brought most since the
   * last call.
   */
  note(ms: number, largest: UpstreamRead | undefined): void {
    const now = this.timer.now();
    const {delays} = this;
    this.forget();
    while ((delays.at(-1)?.ms ?? Infinity) <= ms) delays.pop();
    delays.push({at: now, ms});
    if (ms < LOGGED_DELAY_MS || now - this.loggedAt < WINDOW_MS) return;
    this.loggedAt = now;
    this.logger.warn(
      {event: LogEvent.Lag, lateMs: Math.round(ms), ...largest},
      'The event loop is late.',
    );
  }

  /** The longest delay of the window, in ms. */
  get longestMs(): number {
    this.forget();
    return this.delays[0]?.ms ?? 0;
  }

  private forget(): void {
    const {delays} = this;
    const since = this.timer.now() - WINDOW_MS;
    while ((delays[0]?.at ?? Infinity) < since) delays.shift();
  }
}
