import type {Allowance} from './allowance.js';
import type {Endpoint} from './endpoint.js';
import type {Line} from './line.js';
import type {Prompt} from './protocol.js';
import type {Speeds} from './speeds.js';

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

  /** Puts an attempt on an upstream's account. */
  take(
    endpoint: Endpoint,
    prompt: Prompt | undefined,
    freshTokens: number,
    sentAt: number,
  ): AttemptLoad {
    endpoint.inflight++;
    endpoint.prefillTokens += freshTokens;
    if (prompt !== undefined) endpoint.cached?.add(prompt);
    let unread = freshTokens;
    const read = () => {
      endpoint.prefillTokens -= unread;
      unread = 0;
    };
    return {
      started: now => {
        if (unread > 0) this.speeds.started(unread, now - sentAt);
        read();
      },
      end: () => {
        read();
        endpoint.inflight--;
      },
    };
  }
}
