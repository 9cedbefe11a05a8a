import type {Timer} from '../timer/index.js';

/** Appends a second that claims of the whole fleet may use. */
export const FLEET_APPENDS_PER_SECOND = 200;

const BURST_S = 0.25;

/**
 * A token bucket that spaces appends. Its rate may change at any time, such as
 * with the number of instances that share a fleet-wide budget.
 */
export class AppendBudget {
  private tokens = 1;
  private at: number;
  /** Ends once every earlier caller has its token. */
  private line: Promise<void> = Promise.resolve();

  /** `rate` returns tokens a second; `timer` tells the time. */
  constructor(
    private readonly timer: Timer,
    private readonly rate: () => number,
  ) {
    this.at = timer.now();
  }

  /** Resolves when the caller may append; callers are served in order. */
  take(): Promise<void> {
    this.line = this.line.then(() => this.next());
    return this.line;
  }

  private async next(): Promise<void> {
    this.refill();
    if (this.tokens < 1) {
      await this.timer.sleep(((1 - this.tokens) / this.rate()) * 1000);
      this.refill();
    }
    this.tokens -= 1;
  }

  private refill(): void {
    const now = this.timer.now();
    const rate = this.rate();
    const most = Math.max(1, rate * BURST_S);
    const gained = ((now - this.at) / 1000) * rate;
    this.tokens = Math.min(most, this.tokens + gained);
    this.at = now;
  }
}
