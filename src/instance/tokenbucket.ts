import type {Timer} from '../timer/index.js';

/** A token bucket: up to `capacity` at once, one more every `periodMs`. */
export class TokenBucket {
  private tokens: number;
  private at: number;

  constructor(
    private readonly capacity: number,
    private readonly periodMs: number,
    private readonly timer: Timer,
  ) {
    this.tokens = capacity;
    this.at = timer.now();
  }

  /** Takes a token if there is one. */
  take(): boolean {
    const now = this.timer.now();
    const earned = (now - this.at) / this.periodMs;
    this.tokens = Math.min(this.capacity, this.tokens + earned);
    this.at = now;
    if (this.tokens < 1) return false;
    this.tokens--;
    return true;
  }
}
