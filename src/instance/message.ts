import {z} from 'zod';
import {MemberState} from './member.js';

/** What instances tell each other about the existence of a member. */
export const memberRecordSchema = z.object({
  name: z.string(),
  incarnation: z.number().int(),
  state: z.enum(MemberState),
  zone: z.string(),
  host: z.string(),
  port: z.number().int(),
});

/** What instances tell each other about the load of a member. */
export const statusRecordSchema = z.object({
  name: z.string(),
  incarnation: z.number().int(),
  /** Grows with every report of the member within its incarnation. */
  sequence: z.number().int(),
  status: z.object({
    configurationVersion: z.number().int(),
    shedTier: z.number().int().optional(),
    queued: z.number().int(),
    running: z.number().int(),
  }),
});

/** One item of a [[Topic]] on its way through the fleet. */
export const topicItemSchema = z.object({
  topic: z.string(),
  key: z.string(),
  value: z.unknown(),
});

/** What every datagram between instances carries. */
export const membershipMessageSchema = z.object({
  from: memberRecordSchema,
  /** Newest configuration version that the sender heard of. */
  version: z.number().int().default(0),
  members: z.array(memberRecordSchema).default([]),
  statuses: z.array(statusRecordSchema).default([]),
  items: z.array(topicItemSchema).default([]),
});

/** A request to probe a third instance. */
export const relayRequestSchema = membershipMessageSchema.extend({
  target: z.object({host: z.string(), port: z.number().int()}),
});

/** The answer to a [[relaySchema]] request. */
export const relayResponseSchema = membershipMessageSchema.extend({
  reached: z.boolean(),
});

/** Everything an instance knows, exchanged when digests differ. */
export const syncMessageSchema = z.object({
  from: memberRecordSchema,
  /** Digest of the sender's members and topics. */
  digest: z.string(),
  /** Absent when only the digest is offered. */
  members: z.array(memberRecordSchema).optional(),
  statuses: z.array(statusRecordSchema).optional(),
  items: z.array(topicItemSchema).optional(),
});

/** The existence of a member, as told between instances. */
export type MemberRecord = z.output<typeof memberRecordSchema>;
/** The load of a member, as told between instances. */
export type StatusRecord = z.output<typeof statusRecordSchema>;
/** One item of a topic, as told between instances. */
export type TopicItem = z.output<typeof topicItemSchema>;
/** What a datagram carries, with empty lists filled in. */
export type MembershipMessage = z.output<typeof membershipMessageSchema>;
/** What a datagram carries, as it is sent: without empty lists. */
export type MembershipMessageInput = z.input<typeof membershipMessageSchema>;
/** Everything an instance knows, or the digest of it. */
export type SyncMessage = z.output<typeof syncMessageSchema>;
