import {ManualTimer, type Subscription} from '../../src/timer/index.js';

/** Time for which the steps of a start may come at once, in ms. */
const BURST_MS = 1_000;

/** More steps than a [[BudgetedTimer]] allows. */
export class StepBudgetExceeded extends Error {
  readonly type = 'stepBudgetExceeded';
}

/**
 * A timer that counts its steps, which are the calls of listeners, and fails
 * once there are more than the time that has passed on it allows. So a
 * simulation that goes on without end is found after the same step everywhere.
 */
export class BudgetedTimer extends ManualTimer {
  steps = 0;

  constructor(private readonly stepsPerSecond: number) {
    super();
  }

  override after(delayMs: number, listener: () => void): Subscription {
    return super.after(delayMs, () => {
      this.countStep();
      listener();
    });
  }

  private countStep(): void {
    this.steps++;
    const allowed = (this.stepsPerSecond / 1_000) * (this.now() + BURST_MS);
    if (this.steps <= allowed) return;
    throw new StepBudgetExceeded(
      `Step ${this.steps} after ${this.now()} ms of virtual time, ` +
        `where ${Math.floor(allowed)} are allowed`,
    );
  }
}
