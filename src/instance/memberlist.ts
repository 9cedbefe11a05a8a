import {z} from 'zod';
import {MemberState, type Member, type Membership} from './member.js';
import {memberRecordSchema, statusRecordSchema} from './message.js';
import type {PeerAddress, PeerClient, PeerServer} from './peerrpc.js';

const MEMBERS_METHOD = 'fleet.members';
const CALL_TIMEOUT_MS = 2_000;

const membersSchema = z.array(
  memberRecordSchema.extend({status: statusRecordSchema.shape.status}),
);

/** A member as told to operators. */
export type MemberSummary = z.output<typeof membersSchema>[number];

/** Answers peers and operators' tools with all members known here. */
export function serveMembers(server: PeerServer, membership: Membership): void {
  server.handle(MEMBERS_METHOD, () => Promise.resolve(membership.all()));
}

/** Asks an instance for all members it knows; undefined without an answer. */
export async function fetchMembers(
  client: PeerClient,
  instance: PeerAddress,
): Promise<MemberSummary[] | undefined> {
  const answer = await client.call(
    instance,
    MEMBERS_METHOD,
    {},
    CALL_TIMEOUT_MS,
  );
  const parsed = membersSchema.safeParse(answer.unwrapOr(undefined));
  return parsed.success ? parsed.data : undefined;
}

/** Whether a member is expected to follow the configuration. */
export function isLive({state}: Pick<Member, 'state'>): boolean {
  return state === MemberState.Alive || state === MemberState.Suspect;
}
