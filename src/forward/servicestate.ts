import {AnswerStarts} from './answerstarts.js';
import type {RetryBudget} from './retrybudget.js';
import type {Placement, PlacementRequest} from './placementrequest.js';
import type {WaitQueue} from './waitqueue.js';
import type {SpeedEstimator} from './speedestimator.js';

/** Tracks the load of one attempt on its upstream. */
export interface AttemptLoad {
  /** Records the first bytes of the response, which end the prefill. */
  recordFirstBytes(now: number): void;
  /** Removes the load of the attempt. */
  end(): void;
}

/** Wait queue, retry budget and estimates of the times of one service. */
export class ServiceState {
  readonly starts = new AnswerStarts();

  constructor(
    readonly name: string,
    readonly waitQueue: WaitQueue,
    readonly retryBudget: RetryBudget,
    readonly speeds: SpeedEstimator,
  ) {}

  /** Starts tracking the load of a placed request; `sentAt` in monotonic ms. */
  trackLoad(
    {endpoint, freshTokens, trial}: Placement,
    {tier}: PlacementRequest,
    sentAt: number,
  ): AttemptLoad {
    const {speeds} = this;
    const {ownLoad} = endpoint;
    let pendingTokens = freshTokens;
    const finishPrefill = () => {
      ownLoad.finishPrefill(tier, pendingTokens);
      pendingTokens = 0;
    };
    return {
      recordFirstBytes: now => {
        speeds.observePrefill(pendingTokens, now - sentAt);
        finishPrefill();
      },
      end: () => {
        finishPrefill();
        ownLoad.endRequest();
        trial?.end();
      },
    };
  }
}
