/** Guarantees of the router that a fault run checks, one checker each. */
export enum Guarantee {
  /** No request is shed or preempted in favour of one of a lower tier. */
  Tiers = 'tiers',
  /** Every class has requests completed, also after the last fault. */
  Served = 'served',
  /** A completed request returns the full answer to that request. */
  Answers = 'answers',
  /** No upstream executed a request with the outcome `not_run`. */
  NotRun = 'not_run',
  /** A request that is not repeatable is executed at most once. */
  Once = 'once',
  /** An upstream that is leaving receives no new requests. */
  Leaving = 'leaving',
  /** A graceful shutdown lets every request in flight finish. */
  Shutdown = 'shutdown',
  /**
   * An accepted configuration comes into force at every router in time, and no
   * router returns to an older version.
   */
  Configuration = 'configuration',
  /** An engine executes no order with a lower fencing number than before. */
  Orders = 'orders',
}

/** A violated guarantee, with the evidence for it. */
export interface Violation {
  guarantee: Guarantee;
  message: string;
  /** Entries of the history that show the violation. */
  trace: unknown[];
}
