import type {Hold} from './evidence.js';

/** Time from a hold to the first trial of its part, in ms. */
const FIRST_PAUSE_MS = 600_000;

/** Longest time between two trials, in ms. */
const MAX_PAUSE_MS = 4 * 3_600_000;

/** When parts that are held may be tried with one request. */
export class Trials {
  /** When the pause before the next trial began, in monotonic ms. */
  private readonly pauses = new Map<string, number>();
  private readonly running = new Set<string>();

  /** Starts the pause of a part that is held from now on. */
  add(part: string, now: number): void {
    this.running.delete(part);
    this.pauses.set(part, now);
  }

  remove(part: string): void {
    this.running.delete(part);
    this.pauses.delete(part);
  }

  /** Whether the pause is over; it doubles with each decision on the part. */
  isDue(hold: Hold, now: number): boolean {
    const since = this.pauses.get(hold.part);
    // An operator ends what an operator began.
    if (since === undefined || hold.crashes === 0) return false;
    const pauseMs = FIRST_PAUSE_MS * 2 ** Math.min(hold.revision - 1, 30);
    return now - since >= Math.min(pauseMs, MAX_PAUSE_MS);
  }

  /** A trial without a result is followed by a whole pause. */
  begin(part: string, now: number): void {
    this.pauses.set(part, now);
    this.running.add(part);
  }

  isRunning(part: string): boolean {
    return this.running.has(part);
  }
}
