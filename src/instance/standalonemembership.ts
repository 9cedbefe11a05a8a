import {
  MemberState,
  type Member,
  type Membership,
  type MemberStatus,
} from './member.js';

/** A membership of one, for an instance without peers. */
export class StandaloneMembership implements Membership {
  private readonly member: Member;

  constructor(identity: Omit<Member, 'state' | 'status'>) {
    this.member = {
      ...identity,
      state: MemberState.Alive,
      status: {configurationVersion: 0, queued: 0, running: 0},
    };
  }

  self(): Member {
    return this.member;
  }

  live(): Member[] {
    return [this.member];
  }

  all(): Member[] {
    return [this.member];
  }

  updateStatus(status: Partial<MemberStatus>): void {
    Object.assign(this.member.status, status);
  }

  subscribe(): void {
    return;
  }
}
