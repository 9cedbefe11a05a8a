const PERIOD_MS = 20;
/** Delays of the event loop from here on are named in the summary, in ms. */
const STALL_MS = 100;

/** A time in which the soak's own process did not run. */
export interface Stall {
  from: number;
  to: number;
}

/** Measures how late the soak's process, with its stand-ins, runs. */
export class Lateness {
  readonly stalls: Stall[] = [];
  maxMs = 0;
  private last = performance.now();
  private readonly interval = setInterval(() => this.measure(), PERIOD_MS);

  /** Length of all stalls between two times, in ms. */
  stalledMs(from: number, to: number): number {
    return this.stalls.reduce((sum, stall) => {
      const overlap = Math.min(to, stall.to) - Math.max(from, stall.from);
      return sum + Math.max(0, overlap);
    }, 0);
  }

  stop(): void {
    clearInterval(this.interval);
  }

  private measure(): void {
    const now = performance.now();
    const lateMs = now - this.last - PERIOD_MS;
    this.maxMs = Math.max(this.maxMs, lateMs);
    if (lateMs >= STALL_MS) this.stalls.push({from: this.last, to: now});
    this.last = now;
  }
}
