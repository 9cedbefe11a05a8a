import {SlidingSum} from './slidingsum.js';

/**
 * Window over which the prefill tokens placed on an engine are summed, in ms.
 */
export const PREFILL_WINDOW_MS = 1_000;

/** Load of one or more instances on an upstream. */
export interface LoadView {
  /** Number of requests in flight. */
  inflight: number;
  /** Prompt tokens that wait for prefill, by tier. */
  unread: ReadonlyMap<number, number>;
  /** Prompt tokens placed for prefill within the window, by tier. */
  recent: ReadonlyMap<number, number>;
}

/** Sum of the tokens of `tier` and more urgent tiers. */
export function tokensUpTo(
  tokensOf: ReadonlyMap<number, number>,
  tier: number,
): number {
  let sum = 0;
  for (const [other, tokens] of tokensOf) {
    if (other <= tier) sum += tokens;
  }
  return sum;
}

/** Load of this instance on an upstream. */
export class OwnLoad {
  private inflight = 0;
  private readonly pendingTokens = new Map<number, number>();
  private readonly recentTokens = new Map<number, SlidingSum>();

  /** Adds a request with `freshTokens` uncached prompt tokens. */
  add(tier: number, freshTokens: number, now: number): void {
    this.inflight++;
    this.addPending(tier, freshTokens);
    const sum =
      this.recentTokens.get(tier) ?? new SlidingSum(PREFILL_WINDOW_MS);
    sum.add(now, freshTokens);
    this.recentTokens.set(tier, sum);
  }

  /** Removes the pending tokens of a prompt once its prefill has ended. */
  finishPrefill(tier: number, freshTokens: number): void {
    this.addPending(tier, -freshTokens);
  }

  /** Removes a request from those in flight. */
  endRequest(): void {
    this.inflight--;
  }

  /** Current load, at `now` in monotonic ms. */
  view(now: number): LoadView {
    const recent = new Map<number, number>();
    for (const [tier, sum] of this.recentTokens) {
      const tokens = sum.sum(now);
      if (tokens > 0) recent.set(tier, tokens);
    }
    return {inflight: this.inflight, unread: this.pendingTokens, recent};
  }

  private addPending(tier: number, tokens: number): void {
    const total = (this.pendingTokens.get(tier) ?? 0) + tokens;
    if (total > 0) this.pendingTokens.set(tier, total);
    else this.pendingTokens.delete(tier);
  }
}
