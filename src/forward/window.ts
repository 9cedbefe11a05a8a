/** Unread work that an instance starts with, in ms of reading. */
const START_MS = 600;
/** Smallest window; a single request is always let through. */
const MINIMUM_MS = 150;
const LIMIT_MS = 4_000;
/** Part of a started request's reading time that the window grows by. */
const GROWTH = 0.15;
/** Factor of the window when a request starts late. */
const SHRINK = 0.8;
/** Least time between two shrinks, in ms; the delay of their effect. */
const SHRINK_PAUSE_MS = 300;
/** Reading done a ms before any was seen. */
const START_RATE = 0.3;
/** Least rate that waits are worked out with; bounds them. */
const MINIMUM_RATE = 0.05;
/** Time over which the rate is smoothed, in ms. */
const RATE_MS = 1_000;
/** Time after a late start in which less urgent tiers don't grow, in ms. */
const URGENT_LATE_MS = 1_500;
/** Share of a target within which a request must start for the window to grow. */
const START_SHARE = 0.5;

/** What one tier has in flight and may have. */
interface Tier {
  limitMs: number;
  unreadMs: number;
  shrunkAt: number;
  /** When a request of the tier last started late, in monotonic ms. */
  lateAt: number;
}

/**
 * Limits the prompts that an instance has sent to engines and that they have
 * not read yet. It grows while requests start well within their targets and
 * shrinks when they don't, so all instances together keep the engines' queues
 * short without talk. Each tier has a limit of its own, and only what is as
 * urgent or more counts against it: engines start the urgent first, so what is
 * less urgent may stay unread for long.
 */
export class Window {
  private readonly tiers = new Map<number, Tier>();
  private rate = START_RATE;
  private readAt?: number;

  /** Whether a request with so much to read may be sent. */
  admits(tier: number, readingMs: number): boolean {
    const unreadMs = this.unreadMs(tier);
    return unreadMs <= 0 || unreadMs + readingMs <= this.limitMs(tier);
  }

  /** Unread work that a tier may have, in ms of reading. */
  limitMs(tier: number): number {
    return this.of(tier).limitMs;
  }

  sent(tier: number, readingMs: number): void {
    this.of(tier).unreadMs += readingMs;
  }

  /** The request has started, or has ended before it did. */
  read(tier: number, readingMs: number, now: number): void {
    const known = this.of(tier);
    known.unreadMs = Math.max(0, known.unreadMs - readingMs);
    const passedMs = Math.max(1, now - (this.readAt ?? now - RATE_MS));
    const weight = 1 - Math.exp(-passedMs / RATE_MS);
    this.rate += weight * (readingMs / passedMs - this.rate);
    this.readAt = now;
  }

  /** Time until so much that waits ahead has been sent, in ms. */
  waitMs(aheadMs: number): number {
    return aheadMs / Math.max(MINIMUM_RATE, this.rate);
  }

  /** Takes in how long a request took to start, in ms. */
  started(
    tier: number,
    readingMs: number,
    startMs: number,
    targetMs: number,
    now: number,
  ): void {
    const known = this.of(tier);
    if (startMs > targetMs * START_SHARE) {
      known.lateAt = now;
      this.shrink(tier, now);
    } else if (!this.isUrgentLate(tier, now)) {
      known.limitMs = Math.min(LIMIT_MS, known.limitMs + readingMs * GROWTH);
    }
  }

  /** Takes from the less urgent first, and from the tier itself only then. */
  private shrink(tier: number, now: number): void {
    const less = [...this.tiers].filter(
      ([other, {limitMs}]) => other > tier && limitMs > MINIMUM_MS,
    );
    const tiers =
      less.length > 0 ? less.map(([, other]) => other) : [this.of(tier)];
    for (const other of tiers) {
      if (now - other.shrunkAt < SHRINK_PAUSE_MS) continue;
      other.shrunkAt = now;
      other.limitMs = Math.max(MINIMUM_MS, other.limitMs * SHRINK);
    }
  }

  /** Whether something more urgent has started late of late. */
  private isUrgentLate(tier: number, now: number): boolean {
    for (const [other, {lateAt}] of this.tiers) {
      if (other < tier && now - lateAt < URGENT_LATE_MS) return true;
    }
    return false;
  }

  private unreadMs(tier: number): number {
    let sum = 0;
    for (const [other, {unreadMs}] of this.tiers) {
      if (other <= tier) sum += unreadMs;
    }
    return sum;
  }

  private of(tier: number): Tier {
    const known = this.tiers.get(tier);
    if (known !== undefined) return known;
    const fresh = {
      limitMs: START_MS,
      unreadMs: 0,
      shrunkAt: -Infinity,
      lateAt: -Infinity,
    };
    this.tiers.set(tier, fresh);
    return fresh;
  }
}
