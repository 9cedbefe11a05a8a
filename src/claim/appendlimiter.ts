import type {Timer} from '../timer/index.js';

/** Largest burst, as the seconds in which its tokens accumulate. */
const MAX_BURST_S = 0.25;

/** Limits the rate of appends with a token bucket. */
export class AppendLimiter {
  private tokens = 1;
  /** Monotonic ms. */
  private refilledAt: number;
  /** Resolves once every earlier caller has its token. */
  private queue: Promise<void> = Promise.resolve();

  /** One token permits one append. */
  constructor(
    private readonly timer: Timer,
    private readonly tokensPerSecond: number,
  ) {
    this.refilledAt = timer.now();
  }

  /** Resolves when the caller may append, in the order of the calls. */
  acquire(): Promise<void> {
    this.queue = this.queue.then(() => this.takeToken());
    return this.queue;
  }

  private async takeToken(): Promise<void> {
    this.refill();
    if (this.tokens < 1) {
      await this.timer.sleep(((1 - this.tokens) / this.tokensPerSecond) * 1000);
      this.refill();
    }
    this.tokens -= 1;
  }

  private refill(): void {
    const now = this.timer.now();
    const capacity = Math.max(1, this.tokensPerSecond * MAX_BURST_S);
    const gained = ((now - this.refilledAt) / 1000) * this.tokensPerSecond;
    this.tokens = Math.min(capacity, this.tokens + gained);
    this.refilledAt = now;
  }
}
