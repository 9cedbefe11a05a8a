import type {PlacementRequest, QueueResult} from './placementrequest.js';

/** A request that waits for an upstream. */
export interface QueueEntry {
  request: PlacementRequest;
  enqueuedAt: number;
  /** Latest estimate of the prefill time, in ms. */
  prefillMs: number;
  /** Earliest time to use the capacity that was found, in monotonic ms. */
  backoffUntil?: number;
  settle(result: QueueResult): void;
}

/** Why a request has to wait. */
export enum WaitCause {
  /** Every upstream has all its slots in use or has just refused. */
  Full = 'full',
  /** No upstream accepts new requests. */
  NoUpstream = 'no_upstream',
  /** No engine has prefill capacity. */
  Busy = 'busy',
  /** Another instance may be about to use the same capacity. */
  Backoff = 'backoff',
  /** Every upstream asked for a pause. */
  Paused = 'paused',
  /** Every upstream with capacity gets as much as it declares that it takes. */
  Limited = 'limited',
}
