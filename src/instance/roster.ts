import {createHash} from 'node:crypto';
import {MemberState, type Member} from './member.js';
import type {MemberRecord, StatusRecord} from './message.js';

/** States of one incarnation in the order in which they override each other. */
const PRECEDENCE: Record<MemberState, number> = {
  [MemberState.Alive]: 0,
  [MemberState.Suspect]: 1,
  [MemberState.Leaving]: 2,
  [MemberState.Dead]: 3,
};

const DIGEST_LENGTH = 16;

/** A member and what this instance keeps about it. */
export interface RosterEntry {
  member: Member;
  /** Sequence of the newest status within the incarnation. */
  statusSequence: number;
  /** Monotonic ms at which the state was taken on. */
  since: number;
}

/**
 * The members an instance knows. Records are merged by incarnation first and
 * by state second, so that the order of arrival does not matter and late news
 * never revives a member that left or died.
 */
export class Roster {
  private readonly entries = new Map<string, RosterEntry>();

  get(name: string): RosterEntry | undefined {
    return this.entries.get(name);
  }

  get size(): number {
    return this.entries.size;
  }

  /** All entries, in the order in which they became known. */
  all(): RosterEntry[] {
    return [...this.entries.values()];
  }

  /** Takes in a record. Returns whether it told anything new. */
  merge(record: MemberRecord, now: number): boolean {
    const known = this.entries.get(record.name);
    if (known !== undefined && !overrides(record, known.member)) return false;
    const restarted =
      known === undefined || known.member.incarnation !== record.incarnation;
    this.entries.set(record.name, {
      member: {
        ...record,
        status: restarted
          ? {configurationVersion: 0, queued: 0, running: 0}
          : known.member.status,
      },
      statusSequence: restarted ? 0 : known.statusSequence,
      since: known?.member.state === record.state ? known.since : now,
    });
    return true;
  }

  /** Takes in a status. Returns whether it was newer than the known one. */
  mergeStatus(record: StatusRecord): boolean {
    const entry = this.entries.get(record.name);
    if (entry?.member.incarnation !== record.incarnation) return false;
    if (record.sequence <= entry.statusSequence) return false;
    entry.statusSequence = record.sequence;
    const {shedTier, ...status} = record.status;
    entry.member.status =
      shedTier === undefined ? status : {...status, shedTier};
    return true;
  }

  /** Forgets members that have been dead or leaving since before `limit`. */
  expire(limit: number): void {
    for (const [name, {member, since}] of this.entries) {
      const gone =
        member.state === MemberState.Dead ||
        member.state === MemberState.Leaving;
      if (gone && since < limit) this.entries.delete(name);
    }
  }

  /** Statuses of all members that told one. */
  statuses(): StatusRecord[] {
    return this.all()
      .filter(({statusSequence}) => statusSequence > 0)
      .map(({member: {name, incarnation, status}, statusSequence}) => ({
        name,
        incarnation,
        sequence: statusSequence,
        status,
      }));
  }

  /** Records of all members. */
  records(): MemberRecord[] {
    return this.all().map(({member}) => recordOf(member));
  }
}

/** Digest of the records that all instances should agree on. */
export function digestMembers(records: readonly MemberRecord[]): string {
  const hash = createHash('sha256');
  const lines = records
    .filter(({state}) => state !== MemberState.Dead)
    .map(({name, incarnation, state}) => `${name} ${incarnation} ${state}`);
  for (const line of lines.sort()) hash.update(`${line}\n`);
  return hash.digest('base64url').slice(0, DIGEST_LENGTH);
}

/** Returns what is told to peers of a member's existence. */
export function recordOf(member: Member): MemberRecord {
  const {name, incarnation, state, zone, host, port} = member;
  return {name, incarnation, state, zone, host, port};
}

function overrides(record: MemberRecord, known: Member): boolean {
  if (record.incarnation !== known.incarnation) {
    return record.incarnation > known.incarnation;
  }
  return PRECEDENCE[record.state] > PRECEDENCE[known.state];
}

/** Whether a member must be told of the view held of it. */
export function needsCorrection(view: Member, member: MemberRecord): boolean {
  return (
    view.state !== MemberState.Alive || view.incarnation > member.incarnation
  );
}
