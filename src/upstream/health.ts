const FAILURES_TO_EJECT = 3;
const FIRST_EJECTION_MS = 500;
const MAX_EJECTION_MS = 10_000;

/** Whether an upstream may be given attempts. */
export enum HealthState {
  Healthy = 'healthy',
  /** Failed repeatedly; receives no attempts until its ejection ends. */
  Ejected = 'ejected',
  /** Its ejection has ended; one attempt at a time probes its recovery. */
  Probation = 'probation',
}

/** Failure detector of one upstream, with ejection and exponential back-off. */
export class Health {
  private consecutiveFailures = 0;
  private consecutiveEjections = 0;
  private ejectedUntil = 0;
  private unhealthy = false;

  state(now: number): HealthState {
    if (!this.unhealthy) return HealthState.Healthy;
    return now < this.ejectedUntil
      ? HealthState.Ejected
      : HealthState.Probation;
  }

  /**
   * Records a successful attempt. Returns true if the upstream was ejected or
   * on probation before.
   */
  addSuccess(): boolean {
    const recovered = this.unhealthy;
    this.consecutiveFailures = 0;
    this.consecutiveEjections = 0;
    this.unhealthy = false;
    return recovered;
  }

  /**
   * Records a failed attempt, which ejects the upstream after repeated failures
   * or during probation. Each ejection lasts twice as long as the previous one.
   */
  addFailure(now: number): void {
    this.consecutiveFailures++;
    if (!this.unhealthy && this.consecutiveFailures < FAILURES_TO_EJECT) return;
    const ejectionMs = FIRST_EJECTION_MS * 2 ** this.consecutiveEjections;
    this.consecutiveEjections++;
    this.unhealthy = true;
    this.ejectedUntil = now + Math.min(MAX_EJECTION_MS, ejectionMs);
  }
}
