/** Tokens of service a class may be owed at most. */
const CREDIT_LIMIT_TOKENS = 8_192;

/**
 * Guarantees each waiting class a share of the service, however much work of
 * higher tiers there is. A waiting class earns its floor share of every token
 * of service handed out, and is due once it has earned the cost of its next
 * request. A floor decides who gets the next free slot; it never takes a slot
 * or a place in the queue from anyone.
 */
export class FloorCredits {
  private readonly credits = new Map<string, number>();

  /** Tokens that a class is owed. */
  creditOf(className: string): number {
    return this.credits.get(className) ?? 0;
  }

  /** Whether a class has earned a request of the given cost. */
  hasEarned(className: string, cost: number): boolean {
    const price = Math.min(cost, CREDIT_LIMIT_TOKENS);
    return this.creditOf(className) >= price;
  }

  /** Counts service handed out while `waiting` classes had requests queued. */
  recordService(
    className: string,
    cost: number,
    waiting: Iterable<string>,
    shareOf: (className: string) => number,
  ): void {
    for (const name of waiting) {
      if (name === className) continue;
      const credit = this.creditOf(name) + shareOf(name) * cost;
      this.credits.set(name, Math.min(CREDIT_LIMIT_TOKENS, credit));
    }
    const left = this.creditOf(className) - cost;
    if (left > 0) this.credits.set(className, left);
    else this.credits.delete(className);
  }
}
