import type {Allowance} from './retrybudget.js';
import type {Line, Placed, Want} from './waitqueue.js';
import type {Speeds} from './speedestimator.js';

/** The load that one attempt puts on its upstream. */
export interface AttemptLoad {
  /** Takes in the first bytes of the answer. */
  started(now: number): void;
  /** Takes the load off. */
  end(): void;
}

/** What an instance keeps for one service. */
export class Lane {
  constructor(
    readonly service: string,
    readonly line: Line,
    readonly allowance: Allowance,
    readonly speeds: Speeds,
  ) {}

  /** Follows the load that a placed request puts on its upstream. */
  follow(
    {endpoint, freshTokens}: Placed,
    {tier}: Want,
    sentAt: number,
  ): AttemptLoad {
    const {speeds} = this;
    const {own} = endpoint;
    let unread = freshTokens;
    const read = () => {
      own.read(tier, unread);
      unread = 0;
    };
    return {
      started: now => {
        speeds.started(unread, now - sentAt);
        read();
      },
      end: () => {
        read();
        own.ended();
      },
    };
  }
}
