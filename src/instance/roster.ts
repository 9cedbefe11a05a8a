import {createHash} from 'node:crypto';
import {MemberState, type Member} from './member.js';
import type {MemberRecord, StatusRecord} from './message.js';

/** Within one incarnation, a state overrides those with a lower number. */
const PRECEDENCE: Record<MemberState, number> = {
  [MemberState.Alive]: 0,
  [MemberState.Suspect]: 1,
  [MemberState.Leaving]: 2,
  [MemberState.Dead]: 3,
};

/** Length of a digest, in base64url characters. */
const DIGEST_LENGTH = 16;

/** A member, with the local data about it. */
export interface RosterEntry {
  member: Member;
  /** Sequence of its newest status within the incarnation; 0 if none came. */
  statusSequence: number;
  /** Monotonic time of the last change of its state, in ms. */
  since: number;
}

/**
 * The other members that an instance knows. The record with the higher
 * incarnation wins, then the one whose state has precedence. So the order of
 * arrival does not matter, and a late record never revives a member that left
 * or died.
 */
export class Roster {
  private readonly entries = new Map<string, RosterEntry>();

  get(name: string): RosterEntry | undefined {
    return this.entries.get(name);
  }

  get size(): number {
    return this.entries.size;
  }

  /** All entries, in the order in which they were added. */
  all(): RosterEntry[] {
    return [...this.entries.values()];
  }

  /** Merges a record. Returns whether it changed the entry. */
  merge(record: MemberRecord, now: number): boolean {
    const known = this.entries.get(record.name);
    if (known !== undefined && !overrides(record, known.member)) return false;
    const isNewIncarnation =
      known === undefined || known.member.incarnation !== record.incarnation;
    this.entries.set(record.name, {
      member: {
        ...record,
        status: isNewIncarnation
          ? {configurationVersion: 0, queued: 0, running: 0}
          : known.member.status,
      },
      statusSequence: isNewIncarnation ? 0 : known.statusSequence,
      since: known?.member.state === record.state ? known.since : now,
    });
    return true;
  }

  /** Merges a status. Returns whether it was newer than the known one. */
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

  /**
   * Removes members that have been dead or leaving since before `cutoff`, a
   * monotonic time in ms.
   */
  expire(cutoff: number): void {
    for (const [name, {member, since}] of this.entries) {
      const hasLeft =
        member.state === MemberState.Dead ||
        member.state === MemberState.Leaving;
      if (hasLeft && since < cutoff) this.entries.delete(name);
    }
  }

  /** Statuses of all members that have sent one. */
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

/**
 * Digest of the records that all instances should agree on, without the dead
 * members. It does not depend on the order of the records.
 */
export function digestMembers(records: readonly MemberRecord[]): string {
  const hash = createHash('sha256');
  const lines = records
    .filter(({state}) => state !== MemberState.Dead)
    .map(({name, incarnation, state}) => `${name} ${incarnation} ${state}`);
  for (const line of lines.sort()) hash.update(`${line}\n`);
  return hash.digest('base64url').slice(0, DIGEST_LENGTH);
}

/** Returns the record of a member, without its status. */
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

/**
 * Whether a member must get the record known of it: it is not known as alive,
 * or with a higher incarnation than the member reports.
 */
export function needsCorrection(known: Member, member: MemberRecord): boolean {
  return (
    known.state !== MemberState.Alive || known.incarnation > member.incarnation
  );
}
