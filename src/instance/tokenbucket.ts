import type {Timer} from '../timer/index.js';

/** A token bucket with up to `capacity` tokens and a new one per `periodMs`. */
export class TokenBucket {
  private tokens: number;
  private refilledAt: number;

  constructor(
    private readonly capacity: number,
    private readonly periodMs: number,
    private readonly timer: Timer,
  ) {
    this.tokens = capacity;
    this.refilledAt = timer.now();
  }

  /** Takes a token. Returns false if there is none. */
  take(): boolean {
    const now = this.timer.now();
    const refilled = (now - this.refilledAt) / this.periodMs;
    this.tokens = Math.min(this.capacity, this.tokens + refilled);
    this.refilledAt = now;
    if (this.tokens < 1) return false;
    this.tokens--;
    return true;
  }
}
