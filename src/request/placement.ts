import type {Result} from 'neverthrow';
import type {Upstream} from '../upstream/index.js';
import type {FailureConclusion} from './outcome.js';
import type {ParsedRequest} from './work.js';

/** How an attempt ended, reported to the scheduler. */
export enum AttemptEnd {
  /** The complete answer arrived, or a client error that is passed on. */
  Completed = 'whole',
  /** The upstream refused without running the request. */
  Refused = 'refused',
  /** The upstream failed with an error or the connection broke. */
  Broken = 'broken',
  /** The upstream sent nothing for too long. */
  Silent = 'silent',
  /**
   * The attempt was aborted or preempted, or only its connection was at fault;
   * this says nothing about the upstream.
   */
  Cancelled = 'cancelled',
}

/**
 * Permission to run one attempt of a request on one upstream, with a slot held
 * there until it is released.
 */
export interface Placement {
  upstream: Upstream;
  /** Priority sent to the upstream; 0 is the highest. */
  priority: number;
  /**
   * Aborts when the attempt is preempted, or when the signal passed to
   * [[Scheduler.acquire]] aborts.
   */
  signal: AbortSignal;
  /** Reports that the first token or byte of the answer arrived. */
  firstToken(): void;
  /** Reports that `tokens` more tokens arrived. */
  progress(tokens: number): void;
  /** Frees the slot. Must be called exactly once. */
  release(end: AttemptEnd): void;
}

/** Earlier attempts of a request, considered when the next is placed. */
export interface PlacementHistory {
  /** Names of the upstreams already tried, which are avoided. */
  tried: ReadonlySet<string>;
}

/**
 * Decides whether, when and on which upstream a request runs. Implementations
 * may queue requests, limit concurrency and shed load; they don't send or read
 * any data.
 */
export interface Scheduler {
  /**
   * Waits until the request may run and returns its placement. Returns an error
   * as soon as it is clear that the request can't be placed; no attempt was
   * started then. `signal` ends the wait.
   */
  acquire(
    work: ParsedRequest,
    history: PlacementHistory,
    signal: AbortSignal,
  ): Promise<Result<Placement, FailureConclusion>>;
}
