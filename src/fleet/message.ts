import {z} from 'zod';
import {rateStatementSchema, type RateStatement} from './permitmessage.js';
import {
  Standing,
  Topic,
  type EarlierPosition,
  type TopicState,
  type TopicStatus,
} from '../registry/index.js';

/** Tier, and a number of prompt tokens. */
const tierTokensSchema = z.tuple([z.number(), z.number()]);

const upstreamLoadSchema = z.object({
  /** Id of the upstream. */
  upstream: z.string(),
  /** Requests in flight. */
  inflight: z.number(),
  /** Tier, and prompt tokens whose prefill is pending. */
  unread: z.array(tierTokensSchema),
  /** Tier, and prompt tokens sent for prefill in the last second. */
  recent: z.array(tierTokensSchema),
});

const sentPromptSchema = z.object({
  /** Id of the upstream. */
  upstream: z.string(),
  /** Id and token count of each part of the prompt. */
  parts: z.array(z.tuple([z.string(), z.number()])),
});

/**
 * Id and start time, in Unix ms, of an upstream that announced in a response that
 * it leaves, while its entry says that it is ready.
 */
const leavingUpstreamSchema = z.tuple([z.string(), z.number()]);

/** Service, and its most urgent tier with a long-waiting request. */
const waitingTierSchema = z.tuple([z.string(), z.number()]);

/**
 * Load of an instance or of a zone that is passed on, without names to keep
 * messages small.
 */
const relayedLoadSchema = z.tuple([
  /** Name of the instance, or of the zone after [[ZONE_PREFIX]]. */
  z.string(),
  /** Number of instances that the load is the sum of. */
  z.number(),
  /** Age of the data, in ms. */
  z.number().min(0),
  /** Upstream, inflight, unread and recent of each [[UpstreamLoad]]. */
  z.array(
    z.tuple([
      z.string(),
      z.number(),
      z.array(tierTokensSchema),
      z.array(tierTokensSchema),
    ]),
  ),
  z.array(waitingTierSchema),
]);

/** Store epoch of what a message tells; builds before it tell none. */
const epochSchema = z.number().int().min(0).default(0);

/**
 * The fields of a [[TopicStatus]], without names to keep messages small. The
 * epoch stands beside them, where earlier builds ignore it.
 */
const topicStatusSchema = z.tuple([
  z.enum(Topic),
  /** end */
  z.number().int().min(0),
  /** since */
  z.number().int().min(0),
  /** changedTo */
  z.number().int().min(0),
  /** ageMs */
  z.number().min(0),
  /** reader */
  z.string(),
]);

export type WireStatus = z.output<typeof topicStatusSchema>;

export function encodeStatus(status: TopicStatus): WireStatus {
  const {topic, end, since, changedTo, ageMs, reader} = status;
  return [topic, end, since, changedTo, ageMs, reader];
}

export function decodeStatus(wire: WireStatus, epoch: number): TopicStatus {
  const [topic, end, since, changedTo, ageMs, reader] = wire;
  return {topic, epoch, end, since, changedTo, ageMs, reader};
}

/** Offset, key, and value in Base64; null if the record removes the key. */
const recordSchema = z.tuple([z.number(), z.string(), z.string().nullable()]);

/** Consecutive changes of a topic. */
const topicChangesSchema = z.object({
  topic: z.enum(Topic),
  /** The changes are complete from this offset on. */
  from: z.number().int(),
  records: z.array(recordSchema),
});

/** How far a topic was known in an epoch that ended a short time ago. */
const earlierPositionSchema = z.tuple([
  z.enum(Topic),
  /** epoch */
  z.number().int().min(0),
  /** end */
  z.number().int().min(0),
  /** changedTo */
  z.number().int().min(0),
  /** ageMs */
  z.number().min(0),
]);

export type WirePosition = z.output<typeof earlierPositionSchema>;

export function encodePosition(
  topic: Topic,
  {epoch, end, changedTo, ageMs}: EarlierPosition,
): WirePosition {
  return [topic, epoch, end, changedTo, ageMs];
}

export function decodePosition(wire: WirePosition): EarlierPosition {
  const [, epoch, end, changedTo, ageMs] = wire;
  return {epoch, end, changedTo, ageMs};
}

/** A message with the load and prompts that an instance sent to upstreams. */
export const gossipMessageSchema = z.object({
  /** Name of the sending instance. */
  from: z.string(),
  /** Load of the sender, in a fleet whose instances all talk directly. */
  loads: z.array(upstreamLoadSchema),
  /** Prompts sent since the last message. */
  readings: z.array(sentPromptSchema),
  waiting: z.array(waitingTierSchema),
  leaving: z.array(leavingUpstreamSchema).optional(),
  /** Rates that upstreams declare. */
  rates: z.array(rateStatementSchema).optional(),
  /** Loads of the sender and of others, in any other fleet. */
  relayed: z.array(relayedLoadSchema).default([]),
  epoch: epochSchema,
  /** What the sender knows of the topics of the store. */
  topics: z.array(topicStatusSchema).default([]),
  /** Newest changes of the topics, as far as they are small. */
  changes: z.array(topicChangesSchema).default([]),
  /** What the sender knows of the topics in earlier epochs. */
  earlier: z.array(earlierPositionSchema).default([]),
  /** Items of evidence, each checked by itself as later builds may add kinds. */
  evidence: z.array(z.unknown()).optional(),
});

export type GossipMessage = z.output<typeof gossipMessageSchema>;
/** Load from one instance on an upstream. */
export type UpstreamLoad = z.output<typeof upstreamLoadSchema>;
/** A prompt that was sent to an upstream, which may cache its parts. */
export type SentPrompt = z.output<typeof sentPromptSchema>;
export type LeavingUpstream = z.output<typeof leavingUpstreamSchema>;

/** What upstreams said of themselves in responses, in a message. */
export interface Notices {
  leaving?: LeavingUpstream[] | undefined;
  rates?: RateStatement[] | undefined;
}

/** Notices of upstreams that are known on this instance. */
export interface NoticeBoard {
  /** Notices for the next message, without empty lists. */
  take(): Notices;
  /** Records what another instance told. */
  learn(notices: Notices): void;
}
export type WireLoad = z.output<typeof relayedLoadSchema>;
export type WireChanges = z.output<typeof topicChangesSchema>;

/** Name of the method that delivers a [[GossipMessage]]. */
export const GOSSIP_METHOD = 'news';

/** Name of the method by which a peer asks for changes of a topic. */
export const CHANGES_METHOD = 'changes';

/** Time for which the caller waits, in ms; 400 in builds that don't tell. */
const timeoutSchema = z.number().positive().default(400);

/** Parameters of [[CHANGES_METHOD]]. */
export const changesQuerySchema = z.object({
  topic: z.enum(Topic),
  /** Offset of the first change that the caller may lack. */
  from: z.number().int().min(0),
  /** Epoch of that offset; earlier builds compare offsets alone. */
  epoch: z.number().int().min(0).optional(),
  timeoutMs: timeoutSchema,
});

/**
 * Result of [[CHANGES_METHOD]]; null if the changes are no longer kept or the
 * epochs differ.
 */
export const changesReplySchema = z
  .object({
    epoch: epochSchema,
    status: topicStatusSchema,
    changes: topicChangesSchema,
  })
  .nullable();

/** Name of the method by which a peer asks for all that is known of a topic. */
export const STATE_METHOD = 'state';

/** Parameters of [[STATE_METHOD]]. */
export const stateQuerySchema = z.object({
  topic: z.enum(Topic),
  epoch: z.number().int().min(0),
  timeoutMs: timeoutSchema,
});

/** Result of [[STATE_METHOD]]; null if the topic isn't known in that epoch. */
export const stateReplySchema = z
  .object({
    epoch: z.number().int().min(0),
    status: topicStatusSchema,
    records: z.array(
      z.object({
        key: z.string(),
        offset: z.number(),
        /** In Base64. */
        value: z.string().optional(),
        standing: z.enum(Standing).optional(),
        graceMs: z.number().min(0).optional(),
      }),
    ),
    earlier: z.array(earlierPositionSchema),
  })
  .nullable();

export type WireState = NonNullable<z.output<typeof stateReplySchema>>;

export function encodeState({status, records, earlier}: TopicState): WireState {
  return {
    epoch: status.epoch,
    status: encodeStatus(status),
    records: records.map(({value, ...record}) => ({
      ...record,
      ...(value === undefined ? {} : {value: value.toString('base64')}),
    })),
    earlier: earlier.map(position => encodePosition(status.topic, position)),
  };
}

export function decodeState(wire: WireState): TopicState {
  return {
    status: decodeStatus(wire.status, wire.epoch),
    records: wire.records.map(({value, ...record}) => ({
      ...record,
      ...(value === undefined ? {} : {value: Buffer.from(value, 'base64')}),
    })),
    earlier: wire.earlier.map(decodePosition),
  };
}

/** Marks the name of a zone as the origin of a [[WireLoad]]. */
export const ZONE_PREFIX = 'zone:';

const addressSchema = z.object({
  host: z.string(),
  port: z.number().int().min(1).max(65_535),
  /** Availability zone; earlier versions don't publish it. */
  zone: z.string().optional(),
});

/** Address at which an instance receives gossip and calls of its peers. */
export type InstanceAddress = z.output<typeof addressSchema>;

/** Decodes the record of an instance; undefined if it is invalid. */
export function parseAddress(value: Buffer): InstanceAddress | undefined {
  try {
    return addressSchema.safeParse(JSON.parse(value.toString('utf8'))).data;
  } catch {
    // Another program may have written the record. The caller logs it.
    return undefined;
  }
}
