import {z} from 'zod';

const upstreamLoadSchema = z.object({
  /** Id of the upstream. */
  upstream: z.string(),
  /** Requests in flight. */
  inflight: z.number(),
  /** Tier, and prompt tokens whose prefill is pending. */
  unread: z.array(z.tuple([z.number(), z.number()])),
  /** Tier, and prompt tokens sent for prefill in the last second. */
  recent: z.array(z.tuple([z.number(), z.number()])),
});

const sentPromptSchema = z.object({
  /** Id of the upstream. */
  upstream: z.string(),
  /** Id and token count of each part of the prompt. */
  parts: z.array(z.tuple([z.string(), z.number()])),
});

/** A message with the load and prompts that an instance sent to upstreams. */
export const gossipMessageSchema = z.object({
  /** Name of the sending instance. */
  from: z.string(),
  loads: z.array(upstreamLoadSchema),
  /** Prompts sent since the last message. */
  readings: z.array(sentPromptSchema),
  /** Service, and its most urgent tier with a long-waiting request. */
  waiting: z.array(z.tuple([z.string(), z.number()])),
});

export type GossipMessage = z.output<typeof gossipMessageSchema>;
/** Load from one instance on an upstream. */
export type UpstreamLoad = z.output<typeof upstreamLoadSchema>;
/** A prompt that was sent to an upstream, which may cache its parts. */
export type SentPrompt = z.output<typeof sentPromptSchema>;

/** Name of the method that delivers a [[GossipMessage]]. */
export const GOSSIP_METHOD = 'news';

const addressSchema = z.object({
  host: z.string(),
  port: z.number().int().min(1).max(65_535),
});

/** Address at which an instance receives gossip. */
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
