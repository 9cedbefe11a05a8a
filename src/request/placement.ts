import type {Result} from 'neverthrow';
import type {Upstream} from '../upstream/index.js';
import type {FailureConclusion} from './outcome.js';
import type {ParsedRequest} from './work.js';

/** How an attempt on an upstream ended, for the scheduler to learn from. */
export enum AttemptEnd {
  /** The whole answer arrived. */
  Completed = 'whole',
  /** The upstream refused without running the request. */
  Refused = 'refused',
  /** The upstream answered with an error or broke off. */
  Broken = 'broken',
  /** The upstream did not answer in time. */
  Silent = 'silent',
  /** The caller went away or the attempt was preempted. */
  Cancelled = 'cancelled',
}

/** The right to run one attempt of a request on one upstream. */
export interface Placement {
  upstream: Upstream;
  /** Priority to tell the engine; 0 is the highest. */
  priority: number;
  /**
   * Aborts when the attempt must stop: on preemption, and when the signal given
   * to [[Scheduler.acquire]] aborts.
   */
  signal: AbortSignal;
  /** Tells that the first token or byte of the answer arrived. */
  firstToken(): void;
  /** Tells that more tokens arrived. */
  progress(tokens: number): void;
  /** Gives the right back. Must be called exactly once. */
  release(end: AttemptEnd): void;
}

/** What earlier attempts of a request leave for the choice of the next. */
export interface PlacementHistory {
  /** Upstreams already tried, which are avoided. */
  tried: ReadonlySet<string>;
}

/**
 * Decides whether, when and where a request runs. An implementation queues,
 * limits, sheds and chooses; it sees no bytes.
 */
export interface Scheduler {
  /**
   * Waits until the request may run, and returns the right to run it. Refuses
   * at once when it never will; a refusal means that no attempt was granted.
   * `signal` gives up the wait.
   */
  acquire(
    work: ParsedRequest,
    history: PlacementHistory,
    signal: AbortSignal,
  ): Promise<Result<Placement, FailureConclusion>>;
}
