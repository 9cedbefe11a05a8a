/** Time for which the balancer may still send connections while leaving, in ms. */
export const LEAVING_MS = 2_500;
/** Share of the grace that is used at most; the rest covers a slow end. */
const GRACE_SHARE = 0.94;

/** The stop of an instance: what it still takes, and by when it has ended. */
export class DrainSchedule {
  constructor(
    /** When it began, in monotonic ms. */
    private readonly startedAt: number,
    /** Time from the signal to stop to the end of the process, in ms. */
    private readonly graceMs: number,
  ) {}

  /** Latest time to finish requests, in monotonic ms. */
  get deadlineAt(): number {
    return this.startedAt + this.graceMs * GRACE_SHARE;
  }

  /** Whether the balancer may still send new connections. */
  mayReceiveConnections(now: number): boolean {
    return now - this.startedAt < LEAVING_MS;
  }

  /**
   * Whether a request that may last so long is taken. What the balancer still
   * sends is served; later, only what will certainly have ended in time.
   */
  admits(limitMs: number, now: number): boolean {
    return this.mayReceiveConnections(now) || now + limitMs < this.deadlineAt;
  }
}
