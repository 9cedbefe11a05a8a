/**
 * Time from the start of a drain for which the load balancer may still open new
 * connections, in ms.
 */
export const DEREGISTRATION_DELAY_MS = 2_500;
/**
 * Share of the grace period in which requests have to finish; the rest is a
 * margin for a slow shutdown.
 */
const DRAIN_SHARE = 0.94;

/**
 * Times of a draining instance: which requests it still accepts, and when the
 * last one has to be finished.
 */
export class DrainSchedule {
  constructor(
    /** When the drain began, in monotonic ms. */
    private readonly startedAt: number,
    /** Time from the stop signal to the end of the process, in ms. */
    private readonly graceMs: number,
  ) {}

  /** When the drain ends even if requests are running, in monotonic ms. */
  get deadlineAt(): number {
    return this.startedAt + this.graceMs * DRAIN_SHARE;
  }

  /** Whether the load balancer may still open new connections. */
  mayReceiveConnections(now: number): boolean {
    return now - this.startedAt < DEREGISTRATION_DELAY_MS;
  }

  /**
   * Whether to accept a request that times out after `timeoutMs`. While the
   * load balancer may still open connections, every request is accepted; after
   * that, only one that certainly ends before the drain does.
   */
  admits(timeoutMs: number, now: number): boolean {
    return this.mayReceiveConnections(now) || now + timeoutMs < this.deadlineAt;
  }
}
