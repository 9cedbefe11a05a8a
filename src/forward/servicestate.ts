import type {RetryBudget} from './retrybudget.js';
import type {WaitQueue, Placement, PlacementRequest} from './waitqueue.js';
import type {SpeedEstimator} from './speedestimator.js';

/** The load that one attempt puts on its upstream. */
export interface AttemptLoad {
  /** Takes in the first bytes of the answer. */
  recordFirstBytes(now: number): void;
  /** Takes the load off. */
  end(): void;
}

/** What an instance keeps for one service. */
export class ServiceState {
  constructor(
    readonly name: string,
    readonly waitQueue: WaitQueue,
    readonly retryBudget: RetryBudget,
    readonly speeds: SpeedEstimator,
  ) {}

  /** Follows the load that a placed request puts on its upstream. */
  trackLoad(
    {endpoint, freshTokens}: Placement,
    {tier}: PlacementRequest,
    sentAt: number,
  ): AttemptLoad {
    const {speeds: speeds} = this;
    const {ownLoad: own} = endpoint;
    let unread = freshTokens;
    const read = () => {
      own.finishPrefill(tier, unread);
      unread = 0;
    };
    return {
      recordFirstBytes: now => {
        speeds.observePrefill(unread, now - sentAt);
        read();
      },
      end: () => {
        read();
        own.endRequest();
      },
    };
  }
}
