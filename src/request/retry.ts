import type {Timer} from '../timer/index.js';

/** First attempts that together grant one retry; what a retry costs. */
const ATTEMPTS_PER_RETRY = 5;
/** First attempts whose grants may be saved up. */
const RESERVE_ATTEMPTS = 20 * ATTEMPTS_PER_RETRY;
/** First attempts that each second counts for, whatever the traffic. */
const TRICKLE_PER_S = ATTEMPTS_PER_RETRY;
const BACKOFF_MS = 25;
const BACKOFF_LIMIT_MS = 1_000;
/** Budgets kept at most; the least recently used go first. */
const BUDGETS_LIMIT = 4_096;

/** Decides on retries of failed attempts. */
export interface RetryPolicy {
  /** Counts a first attempt of a class on an upstream. */
  recordAttempt(className: string, upstream: string): void;
  /** Takes a retry of a class after a failure on an upstream, if allowed. */
  tryTake(className: string, upstream: string): boolean;
  /** Delay before retry number `retry`, counted from 1, in ms. */
  delayMs(retry: number): number;
}

/** Retries every failure at once. The baseline of [[RetryBudget]]. */
export const unlimitedRetries: RetryPolicy = {
  recordAttempt: () => undefined,
  tryTake: () => true,
  delayMs: () => 0,
};

class Budget {
  private granted = RESERVE_ATTEMPTS;

  constructor(private at: number) {}

  grant(): void {
    this.granted = Math.min(RESERVE_ATTEMPTS, this.granted + 1);
  }

  has(now: number): boolean {
    const gained = ((now - this.at) / 1000) * TRICKLE_PER_S;
    this.granted = Math.min(RESERVE_ATTEMPTS, this.granted + gained);
    this.at = now;
    return this.granted >= ATTEMPTS_PER_RETRY;
  }

  take(): void {
    this.granted -= ATTEMPTS_PER_RETRY;
  }
}

/**
 * Bounds retries to a share of recent traffic, for each class and each
 * upstream, so that retries never multiply an overload.
 */
export class RetryBudget implements RetryPolicy {
  private readonly budgets = new Map<string, Budget>();

  /** `random` returns numbers from 0 to 1, for jitter. */
  constructor(
    private readonly timer: Timer,
    private readonly random: () => number = Math.random,
  ) {}

  /** Counts a first attempt of a class on an upstream. */
  recordAttempt(className: string, upstream: string): void {
    this.of(`class ${className}`).grant();
    this.of(`upstream ${upstream}`).grant();
  }

  /** Takes a retry of a class after a failure on an upstream, if allowed. */
  tryTake(className: string, upstream: string): boolean {
    const now = this.timer.now();
    const budgets = [
      this.of(`class ${className}`),
      this.of(`upstream ${upstream}`),
    ];
    if (!budgets.every(budget => budget.has(now))) return false;
    for (const budget of budgets) budget.take();
    return true;
  }

  /** Delay before retry number `retry`, counted from 1, in ms. */
  delayMs(retry: number): number {
    const most = Math.min(BACKOFF_LIMIT_MS, BACKOFF_MS * 2 ** retry);
    return most * this.random();
  }

  private of(name: string): Budget {
    const budget = this.budgets.get(name) ?? new Budget(this.timer.now());
    this.budgets.delete(name);
    this.budgets.set(name, budget);
    if (this.budgets.size > BUDGETS_LIMIT) {
      const oldest = this.budgets.keys().next().value;
      if (oldest !== undefined) this.budgets.delete(oldest);
    }
    return budget;
  }
}
