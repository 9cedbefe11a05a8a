/** How an upstream treats requests. */
export enum Treatment {
  Serves = 'serves',
  /** Answers 503 with Retry-After: not run. */
  Refuses = 'refuses',
  /** Runs the request and never answers. */
  Silent = 'silent',
  /** Runs the request and resets the connection without an answer. */
  Loses = 'loses',
  /** Resets the connection in the middle of the answer. */
  Cuts = 'cuts',
  /** Fails with 500, as its own answer. */
  Fails = 'fails',
  /** Takes long for an answer. */
  Slow = 'slow',
}

/** Treatments that begin no answer. */
export const BREAKING = new Set([Treatment.Silent, Treatment.Loses]);
