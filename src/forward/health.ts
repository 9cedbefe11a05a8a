/** Failures in a row that eject an upstream. */
const FAILURES_LIMIT = 3;
/** First time out of use, in ms; doubles with each ejection in a row. */
const EJECTION_MS = 500;
/** Longest time out of use, in ms. */
const EJECTION_LIMIT_MS = 4_000;
/** Weight of the newest answer in the share of failures. */
const FAILURE_WEIGHT = 0.1;
/** Time after a refusal for being full in which nothing more is sent, in ms. */
const FULL_PAUSE_MS = 60;

/** How one answer of an upstream counts. */
export enum HealthSignal {
  /** A whole answer of its own. */
  Good = 'good',
  /** A failure of its own, such as a status of 500. */
  Failure = 'failure',
  /** No answer, or not a whole one. */
  Broken = 'broken',
  /** No connection. */
  Unreachable = 'unreachable',
  /** Refused for being full. */
  Full = 'full',
}

/** What an instance believes of an upstream's health, from its own requests. */
export class Health {
  /** Smoothed share of requests that failed, 0 to 1. */
  failureShare = 0;
  private inRow = 0;
  private ejections = 0;
  private outUntil = -Infinity;
  private fullUntil = -Infinity;

  /** Takes in an answer; returns the time out of use if it ejects, in ms. */
  observe(sign: HealthSignal, now: number): number | undefined {
    switch (sign) {
      case HealthSignal.Full:
        this.fullUntil = now + FULL_PAUSE_MS;
        return undefined;
      case HealthSignal.Good:
        this.inRow = 0;
        this.ejections = 0;
        this.smooth(0);
        return undefined;
      case HealthSignal.Failure:
        this.smooth(1);
        return undefined;
      case HealthSignal.Broken:
        this.smooth(1);
        return this.failed(now);
      case HealthSignal.Unreachable:
        this.smooth(1);
        return this.eject(now);
    }
  }

  isEjected(now: number): boolean {
    return now < this.outUntil;
  }

  isFull(now: number): boolean {
    return now < this.fullUntil;
  }

  /**
   * Takes an upstream that does not answer out of use. Requests that fail
   * together count once.
   */
  eject(now: number): number {
    if (this.isEjected(now)) return this.outUntil - now;
    const ms = Math.min(EJECTION_LIMIT_MS, EJECTION_MS * 2 ** this.ejections);
    this.ejections++;
    this.inRow = 0;
    this.outUntil = now + ms;
    return ms;
  }

  private failed(now: number): number | undefined {
    this.inRow++;
    return this.inRow >= FAILURES_LIMIT ? this.eject(now) : undefined;
  }

  private smooth(value: number): void {
    this.failureShare += FAILURE_WEIGHT * (value - this.failureShare);
  }
}
