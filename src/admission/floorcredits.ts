/** Upper bound of the credit that a class accumulates, in tokens. */
const MAX_CREDIT_TOKENS = 8_192;

/**
 * Guarantees each waiting class a minimum share of the service, its floor,
 * under any load of higher tiers. A waiting class earns its floor share of the
 * tokens of every request started for another class, and may start a request
 * ahead of the queue order once its credit covers the cost. A floor only
 * decides which request gets the next free slot: it never preempts a running
 * request or sheds a waiting one.
 */
export class FloorCredits {
  private readonly creditTokens = new Map<string, number>();

  /** Credit of a class, in tokens. */
  creditTokensOf(className: string): number {
    return this.creditTokens.get(className) ?? 0;
  }

  /** Whether the credit of a class covers a request of the given cost. */
  hasEarned(className: string, costTokens: number): boolean {
    const requiredTokens = Math.min(costTokens, MAX_CREDIT_TOKENS);
    return this.creditTokensOf(className) >= requiredTokens;
  }

  /**
   * Records the start of a request: credits every other class in
   * `waitingClasses` and deducts the cost from the credit of `className`,
   * down to 0.
   */
  recordService(
    className: string,
    costTokens: number,
    waitingClasses: Iterable<string>,
    floorShareOf: (className: string) => number,
  ): void {
    for (const name of waitingClasses) {
      if (name === className) continue;
      const creditTokens =
        this.creditTokensOf(name) + floorShareOf(name) * costTokens;
      this.creditTokens.set(name, Math.min(MAX_CREDIT_TOKENS, creditTokens));
    }
    const remainingTokens = this.creditTokensOf(className) - costTokens;
    if (remainingTokens > 0) this.creditTokens.set(className, remainingTokens);
    else this.creditTokens.delete(className);
  }
}
