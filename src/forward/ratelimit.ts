/**
 * Time after an answer that states a rate in which one without may have been
 * sent before it, in ms.
 */
const REORDER_MS = 500;

/** Highest rate that makes a difference, a second. */
const MAX_PER_SECOND = 1_000_000;

/** The rate that the process of an upstream declares, and since when. */
export class RateLimit {
  private declared?: number;
  /** When the newest statement was received, in monotonic ms. */
  private statedAt = -Infinity;

  /**
   * Requests a second that the upstream takes from all instances together;
   * undefined if it declares no rate.
   */
  get perSecond(): number | undefined {
    return this.declared;
  }

  /**
   * Takes over what an answer stated that was received at `at`, in monotonic ms:
   * a rate, or undefined for none. Returns whether this changes the rate.
   */
  state(perSecond: number | undefined, at: number): boolean {
    const settleMs = perSecond === undefined ? REORDER_MS : 0;
    if (at < this.statedAt + settleMs) return false;
    const declared =
      perSecond === undefined ? undefined : Math.min(perSecond, MAX_PER_SECOND);
    const changes = declared !== this.declared;
    this.statedAt = at;
    this.declared = declared;
    return changes;
  }
}
