import type {Timer} from '../timer/index.js';

const BURST_S = 0.25;

/** A token bucket that spaces appends. */
export class AppendLimiter {
  private tokens = 1;
  private at: number;
  /** Ends once every earlier caller has its token. */
  private line: Promise<void> = Promise.resolve();

  /** `perSecond` is the rate at which tokens are granted. */
  constructor(
    private readonly timer: Timer,
    private readonly perSecond: number,
  ) {
    this.at = timer.now();
  }

  /** Resolves when the caller may append; callers are served in order. */
  acquire(): Promise<void> {
    this.line = this.line.then(() => this.next());
    return this.line;
  }

  private async next(): Promise<void> {
    this.refill();
    if (this.tokens < 1) {
      await this.timer.sleep(((1 - this.tokens) / this.perSecond) * 1000);
      this.refill();
    }
    this.tokens -= 1;
  }

  private refill(): void {
    const now = this.timer.now();
    const most = Math.max(1, this.perSecond * BURST_S);
    const gained = ((now - this.at) / 1000) * this.perSecond;
    this.tokens = Math.min(most, this.tokens + gained);
    this.at = now;
  }
}
