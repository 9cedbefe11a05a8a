/** The promises of the brief, one checker each. */
export enum Guarantee {
  /** No higher tier is shed or preempted in favour of a lower one. */
  Tiers = 'tiers',
  /** Every class eventually gets served. */
  Served = 'served',
  /** Each caller receives the whole answer to its own request. */
  Answers = 'answers',
  /** What was told as not run was not run. */
  NotRun = 'not_run',
  /** What is not repeatable runs at most once. */
  Once = 'once',
  /** A leaving upstream receives no new work. */
  Leaving = 'leaving',
  /** A graceful shutdown cuts off no request. */
  Shutdown = 'shutdown',
  /** An accepted configuration is in force everywhere and stays so. */
  Configuration = 'configuration',
  /** An engine obeys no order older than one it has obeyed. */
  Orders = 'orders',
}

/** A promise that was not kept, with what shows it. */
export interface Violation {
  guarantee: Guarantee;
  message: string;
  /** The records of the history that show it. */
  trace: unknown[];
}
