import type {Timer} from '../timer/index.js';

const MAX_BURST_S = 0.25;

/** A token bucket that spaces appends. */
export class AppendLimiter {
  private tokens = 1;
  private refilledAt: number;
  /** Ends once every earlier caller has its token. */
  private queue: Promise<void> = Promise.resolve();

  /** `perSecond` is the rate at which tokens are granted. */
  constructor(
    private readonly timer: Timer,
    private readonly tokensPerSecond: number,
  ) {
    this.refilledAt = timer.now();
  }

  /** Resolves when the caller may append; callers are served in order. */
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
