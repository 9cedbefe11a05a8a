const FAILURES_TO_EJECT = 3;
const EJECTION_MS = 500;
const EJECTION_LIMIT_MS = 10_000;

/** Whether an upstream may be chosen. */
export enum HealthState {
  Healthy = 'healthy',
  /** Failed repeatedly; gets no work until its ejection ends. */
  Ejected = 'ejected',
  /** Its ejection has ended; one attempt at a time tells if it recovered. */
  Probation = 'probation',
}

/** Failure detection of one upstream, with ejection and probing. */
export class Health {
  private failures = 0;
  private ejections = 0;
  private ejectedUntil = 0;
  private suspected = false;

  state(now: number): HealthState {
    if (!this.suspected) return HealthState.Healthy;
    return now < this.ejectedUntil
      ? HealthState.Ejected
      : HealthState.Probation;
  }

  /** An attempt ended well. Returns true when the upstream recovered by it. */
  addSuccess(): boolean {
    const recovered = this.suspected;
    this.failures = 0;
    this.ejections = 0;
    this.suspected = false;
    return recovered;
  }

  /** An attempt broke. Each ejection lasts twice as long as the last. */
  addFailure(now: number): void {
    this.failures++;
    if (!this.suspected && this.failures < FAILURES_TO_EJECT) return;
    const ms = EJECTION_MS * 2 ** this.ejections;
    this.ejections++;
    this.suspected = true;
    this.ejectedUntil = now + Math.min(EJECTION_LIMIT_MS, ms);
  }
}
