import type {Timer} from '../timer/index.js';

const CHECKS_PER_LIMIT = 8;
const CHECK_PERIOD_LIMIT_MS = 250;

/** Longest silences of an upstream. */
export interface SilenceLimits {
  firstByteMs: number;
  idleMs: number;
}

/** Aborts an exchange whose upstream stays silent for longer than allowed. */
export class Watchdog {
  /** Whether the silence was too long. */
  expired = false;
  /** The limit that applies now, in ms. */
  limitMs: number;
  private readonly controller = new AbortController();
  private last: number;
  private readonly tick;
  private readonly stop = () => this.controller.abort();

  constructor(
    private readonly timer: Timer,
    private readonly limits: SilenceLimits,
    private readonly outer: AbortSignal,
  ) {
    this.limitMs = limits.firstByteMs;
    this.last = timer.now();
    const periodMs = Math.min(
      CHECK_PERIOD_LIMIT_MS,
      Math.min(limits.firstByteMs, limits.idleMs) / CHECKS_PER_LIMIT,
    );
    this.tick = timer.every(periodMs, () => this.check());
    if (outer.aborted) this.stop();
    outer.addEventListener('abort', this.stop, {once: true});
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Starts the silence anew. */
  restart(): void {
    this.last = this.timer.now();
  }

  /** Tells that bytes arrived. */
  recordActivity(): void {
    this.last = this.timer.now();
    this.limitMs = this.limits.idleMs;
  }

  end(): void {
    this.tick.end();
    this.outer.removeEventListener('abort', this.stop);
  }

  private check(): void {
    if (this.timer.now() - this.last < this.limitMs) return;
    this.expired = true;
    this.stop();
  }
}
