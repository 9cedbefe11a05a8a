/** Consecutive failures after which an upstream is ejected. */
const MAX_CONSECUTIVE_FAILURES = 3;
/** First ejection time, in ms; doubles with each consecutive ejection. */
const FIRST_EJECTION_MS = 500;
/** Longest ejection time, in ms. */
const MAX_EJECTION_MS = 4_000;
/** Weight of the newest result in the smoothed failure share. */
const FAILURE_WEIGHT = 0.1;
/** Time without new requests after an upstream refused as full, in ms. */
const FULL_BACKOFF_MS = 60;

/** What the result of an attempt says of the health of its upstream. */
export enum HealthSignal {
  /** A complete response without a server error. */
  Good = 'good',
  /** A complete response with a status of 500 or above. */
  Failure = 'failure',
  /** No response, an incomplete one or one that is not valid. */
  Broken = 'broken',
  /** No connection could be opened. */
  Unreachable = 'unreachable',
  /** The upstream refused the request, such as for being full. */
  Full = 'full',
}

/** Passive health check of an upstream, from this instance's requests. */
export class Health {
  /** Smoothed share of requests that failed, 0 to 1. */
  failureShare = 0;
  private consecutiveFailures = 0;
  private ejections = 0;
  private ejectedUntil = -Infinity;
  private fullUntil = -Infinity;

  /** Records a result; returns the ejection time in ms if it ejects. */
  observe(sign: HealthSignal, now: number): number | undefined {
    switch (sign) {
      case HealthSignal.Full:
        this.fullUntil = now + FULL_BACKOFF_MS;
        return undefined;
      case HealthSignal.Good:
        this.consecutiveFailures = 0;
        this.ejections = 0;
        this.updateFailureShare(0);
        return undefined;
      case HealthSignal.Failure:
        this.updateFailureShare(1);
        return undefined;
      case HealthSignal.Broken:
        this.updateFailureShare(1);
        return this.countFailure(now);
      case HealthSignal.Unreachable:
        this.updateFailureShare(1);
        return this.eject(now);
    }
  }

  /** Whether the upstream gets no requests while others are usable. */
  isEjected(now: number): boolean {
    return now < this.ejectedUntil;
  }

  /** Forgets all failures. */
  clear(): void {
    this.failureShare = 0;
    this.consecutiveFailures = 0;
    this.ejections = 0;
    this.ejectedUntil = -Infinity;
  }

  isFull(now: number): boolean {
    return now < this.fullUntil;
  }

  /**
   * Ejects the upstream and returns the time left, in ms. Requests that fail
   * while it is ejected do not extend the time.
   */
  eject(now: number): number {
    if (this.isEjected(now)) return this.ejectedUntil - now;
    const ms = Math.min(
      MAX_EJECTION_MS,
      FIRST_EJECTION_MS * 2 ** this.ejections,
    );
    this.ejections++;
    this.consecutiveFailures = 0;
    this.ejectedUntil = now + ms;
    return ms;
  }

  private countFailure(now: number): number | undefined {
    this.consecutiveFailures++;
    return this.consecutiveFailures >= MAX_CONSECUTIVE_FAILURES
      ? this.eject(now)
      : undefined;
  }

  private updateFailureShare(value: number): void {
    this.failureShare += FAILURE_WEIGHT * (value - this.failureShare);
  }
}
