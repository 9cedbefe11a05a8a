import type {Membership, PeerClient, PeerServer} from '../instance/index.js';
import {MemberState} from '../instance/member.js';
import type {Timer} from '../timer/index.js';
import type {KeyedAttempts} from './keyedattempt.js';
import {
  ATTACH_METHOD,
  attachResultSchema,
  attachParamsSchema,
  type AttachResult,
} from './message.js';
import type {ClaimEntry} from './record.js';

/** Longest time the holder may delay its response to the first call. */
const FIRST_CALL_WAIT_MS = 100;
/** Longest time the holder may delay its response to each later call. */
const NEXT_CALL_WAIT_MS = 2_000;
/** Time for the response to a call, beyond the holder's wait. */
const CALL_TIMEOUT_MARGIN_MS = 700;

/** Dependencies of [[AttemptWaiter]]. */
export interface AttemptWaiterParts {
  timer: Timer;
  membership: Membership;
  client: PeerClient;
  server: PeerServer;
}

/** Waits for keyed attempts to end, on this instance or on a peer. */
export class AttemptWaiter {
  constructor(
    private readonly parts: AttemptWaiterParts,
    private readonly attempts: KeyedAttempts,
  ) {
    parts.server.handle(ATTACH_METHOD, params => {
      const {attempt, waitMs} = attachParamsSchema.parse(params);
      return this.waitHere(attempt, waitMs);
    });
  }

  /**
   * Waits until the attempt that made the claim has ended. Returns `running` if
   * it hasn't by the deadline, in monotonic ms, and `missing` if the holder
   * can't be reached or does not know the attempt.
   */
  async waitForEnd(
    claim: ClaimEntry,
    deadlineAt: number,
  ): Promise<AttachResult> {
    let waitMs = FIRST_CALL_WAIT_MS;
    for (;;) {
      const remainingMs = deadlineAt - this.parts.timer.now();
      if (remainingMs <= 0) return {type: 'running'};
      const result = await this.waitAtHolder(
        claim,
        Math.min(waitMs, remainingMs),
      );
      if (result.type !== 'running') return result;
      waitMs = NEXT_CALL_WAIT_MS;
    }
  }

  private async waitAtHolder(
    claim: ClaimEntry,
    waitMs: number,
  ): Promise<AttachResult> {
    const {membership, client} = this.parts;
    const {holder, attempt} = claim;
    const self = membership.self();
    if (holder.name === self.name) {
      if (holder.incarnation !== self.incarnation) return {type: 'missing'};
      return this.waitHere(attempt, waitMs);
    }
    if (this.isHolderDead(claim)) return {type: 'missing'};
    const response = await client.call(
      holder,
      ATTACH_METHOD,
      {attempt, waitMs},
      waitMs + CALL_TIMEOUT_MARGIN_MS,
    );
    const parsed = attachResultSchema.safeParse(response.unwrapOr(undefined));
    return parsed.success ? parsed.data : {type: 'missing'};
  }

  private isHolderDead({holder}: ClaimEntry): boolean {
    const member = this.parts.membership
      .all()
      .find(({name}) => name === holder.name);
    if (member === undefined) return false;
    if (member.incarnation > holder.incarnation) return true;
    return member.state === MemberState.Dead;
  }

  private async waitHere(id: string, waitMs: number): Promise<AttachResult> {
    const attempt = this.attempts.find(id);
    if (attempt === undefined) return {type: 'missing'};
    const state = await attempt.waitForEnd(waitMs, this.parts.timer);
    return state.type === 'ended'
      ? {type: 'ended', result: state.result}
      : state;
  }
}
