/**
 * Time after an answer that states a rate in which one without may have been
 * sent before it, in ms.
 */
const REORDER_MS = 500;
/** Highest rate that makes a difference, a second. */
const MAX_PER_SECOND = 1_000_000;
/**
 * Time for which a permit may be used, in ms. Requests that are sent late add to
 * those of later permits.
 */
const PERMIT_MS = 300;
/** Time for which an expected wait is believed, in ms. */
const EXPECTATION_MS = 1_000;
/** Time for which peers are told that a rate has ended, in ms. */
const ENDED_NEWS_MS = 60_000;

/**
 * The rate of requests that the process of an upstream declares, and the permits
 * that this instance holds to send some of them.
 */
export class RateLimit {
  private declared?: number;
  /** When the newest statement was received, in monotonic ms. */
  private statedAt = -Infinity;
  /** When the permits held expire, in monotonic ms; the earliest first. */
  private permits: number[] = [];
  private nextPermit = {at: -Infinity, toldAt: -Infinity};
  /** How often peers were told of the newest change. */
  tellings = 0;

  /**
   * Requests a second that the upstream takes from all instances together;
   * undefined if it declares no rate.
   */
  get perSecond(): number | undefined {
    return this.declared;
  }

  /** Age of the newest statement, in ms. */
  ageMs(now: number): number {
    return now - this.statedAt;
  }

  /** Whether peers are to be told of it. */
  isNews(now: number): boolean {
    return this.declared !== undefined || this.ageMs(now) < ENDED_NEWS_MS;
  }

  /**
   * Takes over what an answer stated that was received at `at`, in monotonic ms:
   * a rate, or undefined for none. Returns whether this changes the rate.
   */
  state(perSecond: number | undefined, at: number): boolean {
    if (perSecond === undefined && this.declared === undefined) return false;
    const settleMs = perSecond === undefined ? REORDER_MS : 0;
    if (at < this.statedAt + settleMs) return false;
    const declared =
      perSecond === undefined ? undefined : Math.min(perSecond, MAX_PER_SECOND);
    const changes = declared !== this.declared;
    this.statedAt = at;
    this.declared = declared;
    if (changes) this.tellings = 0;
    if (declared === undefined) this.permits = [];
    return changes;
  }

  /** Whether a request may be sent. */
  admits(now: number): boolean {
    return this.declared === undefined || this.held(now) > 0;
  }

  /** Number of permits held. */
  held(now: number): number {
    this.permits = this.permits.filter(expiresAt => now < expiresAt);
    return this.permits.length;
  }

  /** Uses a permit, if one is needed; false if there is none. */
  take(now: number): boolean {
    if (!this.admits(now)) return false;
    this.permits.shift();
    return true;
  }

  /** Adds permits, which a declared rate requires. */
  grant(count: number, now: number): void {
    if (this.declared === undefined) return;
    this.permits.push(...Array<number>(count).fill(now + PERMIT_MS));
  }

  /** Records that the next permit is expected in `waitMs` ms. */
  expect(waitMs: number, now: number): void {
    this.nextPermit = {at: now + waitMs, toldAt: now};
  }

  /** Expected time until a request may be sent, in ms; 0 if nothing is known. */
  remainingMs(now: number): number {
    const {at, toldAt} = this.nextPermit;
    if (this.admits(now) || now - toldAt > EXPECTATION_MS) return 0;
    return Math.max(0, at - now);
  }
}
