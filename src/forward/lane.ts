import type {Allowance} from './allowance.js';
import type {Line, Placed, Want} from './line.js';
import type {Speeds} from './speeds.js';
import type {Window} from './window.js';

/** The load that one attempt puts on its upstream. */
export interface AttemptLoad {
  /** Takes in the first bytes of the answer. */
  started(now: number): void;
  /** Takes the load off. */
  end(now: number): void;
}

/** What an instance keeps for one service. */
export class Lane {
  constructor(
    readonly service: string,
    readonly line: Line,
    readonly allowance: Allowance,
    readonly speeds: Speeds,
    readonly window: Window,
  ) {}

  /** Puts an attempt on an upstream's account. */
  take(
    {endpoint, freshTokens, readingMs}: Placed,
    {prompt, tier}: Want,
    targetMs: number,
    sentAt: number,
  ): AttemptLoad {
    const {window, speeds} = this;
    endpoint.inflight++;
    window.sent(tier, readingMs);
    endpoint.prefillTokens += freshTokens;
    if (prompt !== undefined) endpoint.cached?.add(prompt);
    let unread = freshTokens;
    const read = (now: number) => {
      if (unread === 0) return;
      endpoint.prefillTokens -= unread;
      unread = 0;
      window.read(tier, readingMs, now);
    };
    return {
      started: now => {
        const startMs = now - sentAt;
        if (unread > 0) speeds.started(unread, startMs);
        if (readingMs > 0) {
          window.started(tier, readingMs, startMs, targetMs, now);
        }
        read(now);
      },
      end: now => {
        read(now);
        endpoint.inflight--;
      },
    };
  }
}
