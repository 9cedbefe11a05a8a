/**
 * Lowest rate at which an upstream gets requests, a second. Only an answer can
 * show that one which declares 0 takes requests again.
 */
const MIN_PER_SECOND = 0.1;
/**
 * Share of a declared rate that is given out. The rest is for what reaches the
 * upstream late, and for instances that don't know of the rate yet.
 */
const USABLE_SHARE = 0.95;
/** Time whose permits may be saved up beside a whole one, in ms. */
const BURST_MS = 100;
/** Time for which a want that isn't renewed counts, in ms. */
const WANT_MS = 500;
/** Time after which an upstream that nobody wants is forgotten, in ms. */
const IDLE_MS = 60_000;

/** Permits that an instance wants for an upstream. */
export interface Want {
  /** Name of the instance. */
  from: string;
  /** Number of the want, which its grants state. */
  id: number;
  count: number;
  /**
   * Tier of the most urgent request that waits for a permit; undefined if none
   * does, and the permit is for one that may come.
   */
  tier?: number;
}

/** Permits for an instance. */
export interface Grant {
  upstream: string;
  to: string;
  /** Number of the want. */
  id: number;
  count: number;
}

interface PendingWant extends Want {
  /** Since when the instance wants permits, in monotonic ms. */
  since: number;
  renewedAt: number;
}

/** Whether `a` is served before `b`. */
function precedes(a: PendingWant, b: PendingWant): boolean {
  const [tier, otherTier] = [a.tier ?? Infinity, b.tier ?? Infinity];
  return tier === otherTier ? a.since < b.since : tier < otherTier;
}

/** Permits for the requests to one upstream. */
class Bucket {
  /** A new issuer doesn't know what its predecessor has given out. */
  private permits = 0;
  private filledAt: number;
  usedAt: number;
  readonly wants = new Map<string, PendingWant>();

  constructor(
    private perSecond: number,
    now: number,
  ) {
    this.filledAt = now;
    this.usedAt = now;
  }

  fill(perSecond: number, now: number): void {
    const added = (this.perSecond * (now - this.filledAt)) / 1_000;
    const most = 1 + (perSecond * BURST_MS) / 1_000;
    this.permits = Math.min(most, this.permits + added);
    this.perSecond = perSecond;
    this.filledAt = now;
  }

  refill(now: number): void {
    this.fill(this.perSecond, now);
  }

  dropStale(now: number): void {
    for (const [from, {renewedAt}] of this.wants) {
      if (now - renewedAt > WANT_MS) this.wants.delete(from);
    }
  }

  take(): PendingWant | undefined {
    if (this.permits < 1) return undefined;
    let best: PendingWant | undefined;
    for (const want of this.wants.values()) {
      if (best === undefined || precedes(want, best)) best = want;
    }
    if (best === undefined) return undefined;
    this.permits--;
    if (best.count === 1) this.wants.delete(best.from);
    else best.count--;
    return best;
  }

  /** Time until a want would be served if no other came, in ms. */
  waitMs(want: PendingWant): number {
    let ahead = 0;
    for (const other of this.wants.values()) {
      if (precedes(other, want)) ahead += other.count;
    }
    return (Math.max(0, ahead + 1 - this.permits) / this.perSecond) * 1_000;
  }
}

/**
 * Gives out the permits to send requests to upstreams that declare a rate, to
 * all instances of the fleet. It has no input or output; times are monotonic ms.
 */
export class PermitIssuer {
  private readonly buckets = new Map<string, Bucket>();

  /** Whether an instance waits for permits. */
  get hasWants(): boolean {
    for (const {wants} of this.buckets.values()) {
      if (wants.size > 0) return true;
    }
    return false;
  }

  /**
   * Records what an instance wants, in place of what it wanted before.
   * `perSecond`: the rate to give out for the upstream.
   */
  want(upstream: string, perSecond: number, want: Want, now: number): void {
    const usable = Math.max(MIN_PER_SECOND, perSecond * USABLE_SHARE);
    const bucket = this.buckets.get(upstream) ?? new Bucket(usable, now);
    this.buckets.set(upstream, bucket);
    bucket.fill(usable, now);
    bucket.usedAt = now;
    const since = bucket.wants.get(want.from)?.since ?? now;
    bucket.wants.set(want.from, {...want, since, renewedAt: now});
  }

  /** Gives out the permits that are due, to the most urgent wants first. */
  issue(now: number): Grant[] {
    const grants: Grant[] = [];
    for (const [upstream, bucket] of this.buckets) {
      if (now - bucket.usedAt > IDLE_MS) {
        this.buckets.delete(upstream);
        continue;
      }
      bucket.refill(now);
      bucket.dropStale(now);
      const byInstance = new Map<string, Grant>();
      for (;;) {
        const want = bucket.take();
        if (want === undefined) break;
        const {from: to, id} = want;
        const grant = byInstance.get(to) ?? {upstream, to, id, count: 0};
        byInstance.set(to, {...grant, count: grant.count + 1});
      }
      grants.push(...byInstance.values());
    }
    return grants;
  }

  /** Time until an instance gets a permit, in ms; undefined if it wants none. */
  waitMs(upstream: string, instance: string): number | undefined {
    const bucket = this.buckets.get(upstream);
    const want = bucket?.wants.get(instance);
    return want === undefined ? undefined : bucket?.waitMs(want);
  }
}
