import {z} from 'zod';
import {MemberState} from './member.js';

/** Identity, address and state of a member, in messages between instances. */
export const memberRecordSchema = z.object({
  name: z.string(),
  incarnation: z.number().int(),
  state: z.enum(MemberState),
  zone: z.string(),
  host: z.string(),
  port: z.number().int(),
});

/** Configuration version and load of a member, in messages. */
export const statusRecordSchema = z.object({
  name: z.string(),
  incarnation: z.number().int(),
  /** Grows with every status of the member within its incarnation. */
  sequence: z.number().int(),
  status: z.object({
    configurationVersion: z.number().int(),
    shedTier: z.number().int().optional(),
    queued: z.number().int(),
    running: z.number().int(),
  }),
});

/** One item of a [[Topic]], in messages between instances. */
export const topicItemSchema = z.object({
  topic: z.string(),
  key: z.string(),
  value: z.unknown(),
});

/** The fields that every membership datagram has. */
export const membershipMessageSchema = z.object({
  from: memberRecordSchema,
  /** Newest configuration version that the sender knows of. */
  version: z.number().int().default(0),
  members: z.array(memberRecordSchema).default([]),
  statuses: z.array(statusRecordSchema).default([]),
  items: z.array(topicItemSchema).default([]),
});

/** A request to probe a third instance, at `target`. */
export const relayRequestSchema = membershipMessageSchema.extend({
  target: z.object({host: z.string(), port: z.number().int()}),
});

/** The response to a relayed probe; `reached` says if the target answered. */
export const relayResponseSchema = membershipMessageSchema.extend({
  reached: z.boolean(),
});

/** A request or response of a sync; complete when the digests differ. */
export const syncMessageSchema = z.object({
  from: memberRecordSchema,
  /** Digest of the sender's members and topics. */
  digest: z.string(),
  /** Absent, like the lists below, when only the digest is sent. */
  members: z.array(memberRecordSchema).optional(),
  statuses: z.array(statusRecordSchema).optional(),
  items: z.array(topicItemSchema).optional(),
});

/** Identity, address and state of a member. */
export type MemberRecord = z.output<typeof memberRecordSchema>;
/** Configuration version and load of a member. */
export type StatusRecord = z.output<typeof statusRecordSchema>;
/** One item of a topic; items with the same topic and key are merged. */
export type TopicItem = z.output<typeof topicItemSchema>;
/** Body of a membership datagram as parsed: absent lists are empty. */
export type MembershipMessage = z.output<typeof membershipMessageSchema>;
/** Body of a membership datagram as sent: empty lists are absent. */
export type MembershipMessageInput = z.input<typeof membershipMessageSchema>;
/** The digest of all that an instance knows, with the records or without. */
export type SyncMessage = z.output<typeof syncMessageSchema>;
