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

/** Longest time a holder keeps one call before it answers `running`. */
const FIRST_WAIT_MS = 100;
const WAIT_MS = 2_000;
/** Time for the call itself, on top of the wait. */
const CALL_TIMEOUT_MS = 700;

/** What an [[Attachment]] needs of the rest of the instance. */
export interface AttachmentParts {
  timer: Timer;
  membership: Membership;
  client: PeerClient;
  server: PeerServer;
}

/** Lets instances wait for attempts that others hold. */
export class AttemptWaiter {
  constructor(
    private readonly parts: AttachmentParts,
    private readonly flights: KeyedAttempts,
  ) {
    parts.server.handle(ATTACH_METHOD, params => {
      const {attempt, waitMs} = attachParamsSchema.parse(params);
      return this.local(attempt, waitMs);
    });
  }

  /**
   * Waits until the attempt that holds a claim has ended, or the deadline.
   * Answers `missing` as soon as the holder can't be asked.
   */
  async waitForEnd(
    claim: ClaimEntry,
    deadlineAt: number,
  ): Promise<AttachResult> {
    let waitMs = FIRST_WAIT_MS;
    for (;;) {
      const left = deadlineAt - this.parts.timer.now();
      if (left <= 0) return {type: 'running'};
      const attached = await this.ask(claim, Math.min(waitMs, left));
      if (attached.type !== 'running') return attached;
      waitMs = WAIT_MS;
    }
  }

  private async ask(claim: ClaimEntry, waitMs: number): Promise<AttachResult> {
    const {membership, client} = this.parts;
    const {holder, attempt} = claim;
    const self = membership.self();
    if (holder.name === self.name) {
      if (holder.incarnation !== self.incarnation) return {type: 'missing'};
      return this.local(attempt, waitMs);
    }
    if (this.isGone(claim)) return {type: 'missing'};
    const answer = await client.call(
      holder,
      ATTACH_METHOD,
      {attempt, waitMs},
      waitMs + CALL_TIMEOUT_MS,
    );
    const parsed = attachResultSchema.safeParse(answer.unwrapOr(undefined));
    return parsed.success ? parsed.data : {type: 'missing'};
  }

  private isGone({holder}: ClaimEntry): boolean {
    const member = this.parts.membership
      .all()
      .find(({name}) => name === holder.name);
    if (member === undefined) return false;
    if (member.incarnation > holder.incarnation) return true;
    return member.state === MemberState.Dead;
  }

  private async local(attempt: string, waitMs: number): Promise<AttachResult> {
    const flight = this.flights.find(attempt);
    if (flight === undefined) return {type: 'missing'};
    const state = await flight.waitForEnd(waitMs, this.parts.timer);
    return state.type === 'ended'
      ? {type: 'ended', result: state.result}
      : state;
  }
}
