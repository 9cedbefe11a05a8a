import {SlidingSum} from './slidingsum.js';

/** Time over which the reading given to an upstream is summed up, in ms. */
export const PREFILL_WINDOW_MS = 1_000;

/** The load on an upstream, of one instance or of several. */
export interface LoadView {
  /** Requests that are with it. */
  inflight: number;
  /** Prompt tokens that it has yet to read, by tier. */
  unread: ReadonlyMap<number, number>;
  /** Prompt tokens it was given to read in the last window, by tier. */
  recent: ReadonlyMap<number, number>;
}

/** Tokens of the tiers that are as urgent as one or more. */
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

/** The load that this instance has put on an upstream. */
export class OwnLoad {
  private inflight = 0;
  private readonly unread = new Map<number, number>();
  private readonly recent = new Map<number, SlidingSum>();

  add(tier: number, freshTokens: number, now: number): void {
    this.inflight++;
    this.change(tier, freshTokens);
    const sum = this.recent.get(tier) ?? new SlidingSum(PREFILL_WINDOW_MS);
    sum.add(now, freshTokens);
    this.recent.set(tier, sum);
  }

  /** The upstream has read a prompt, or no longer has to. */
  finishPrefill(tier: number, freshTokens: number): void {
    this.change(tier, -freshTokens);
  }

  endRequest(): void {
    this.inflight--;
  }

  view(now: number): LoadView {
    const recent = new Map<number, number>();
    for (const [tier, sum] of this.recent) {
      const tokens = sum.sum(now);
      if (tokens > 0) recent.set(tier, tokens);
    }
    return {inflight: this.inflight, unread: this.unread, recent};
  }

  private change(tier: number, tokens: number): void {
    const sum = (this.unread.get(tier) ?? 0) + tokens;
    if (sum > 0) this.unread.set(tier, sum);
    else this.unread.delete(tier);
  }
}
