import type {Timer} from '../timer/index.js';

/** Minimum number of checks within the shorter of the two limits. */
const CHECKS_PER_LIMIT = 8;
/** Longest period between two checks for silence. */
const CHECK_PERIOD_LIMIT_MS = 250;

/** Longest times without any bytes from an upstream. */
export interface SilenceLimits {
  /** Limit until the first byte. */
  firstByteMs: number;
  /** Limit between later bytes. */
  idleMs: number;
}

/** Aborts an exchange if the upstream sends nothing for too long. */
export class Watchdog {
  /** Whether the exchange was aborted because a limit was exceeded. */
  expired = false;
  /** The limit that applies at present, in ms. */
  limitMs: number;
  private readonly controller = new AbortController();
  private lastActivityAt: number;
  private readonly checkTimer;
  private readonly stop = () => this.controller.abort();

  constructor(
    private readonly timer: Timer,
    private readonly limits: SilenceLimits,
    private readonly parentSignal: AbortSignal,
  ) {
    this.limitMs = limits.firstByteMs;
    this.lastActivityAt = timer.now();
    const periodMs = Math.min(
      CHECK_PERIOD_LIMIT_MS,
      Math.min(limits.firstByteMs, limits.idleMs) / CHECKS_PER_LIMIT,
    );
    this.checkTimer = timer.every(periodMs, () => this.check());
    if (parentSignal.aborted) this.stop();
    parentSignal.addEventListener('abort', this.stop, {once: true});
  }

  /** Aborts when a limit is exceeded or the parent signal aborts. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Restarts the time without bytes, and keeps the present limit. */
  restart(): void {
    this.lastActivityAt = this.timer.now();
  }

  /** Records that bytes arrived, and switches to the limit between bytes. */
  recordActivity(): void {
    this.lastActivityAt = this.timer.now();
    this.limitMs = this.limits.idleMs;
  }

  /** Stops the checks and removes the listener. */
  end(): void {
    this.checkTimer.end();
    this.parentSignal.removeEventListener('abort', this.stop);
  }

  private check(): void {
    if (this.timer.now() - this.lastActivityAt < this.limitMs) return;
    this.expired = true;
    this.stop();
  }
}
