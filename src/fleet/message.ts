import {z} from 'zod';

const loadSchema = z.object({
  /** Id of the upstream. */
  upstream: z.string(),
  inflight: z.number(),
  /** Tier and prompt tokens that are yet to be read. */
  unread: z.array(z.tuple([z.number(), z.number()])),
  /** Tier and prompt tokens given to read in the last second. */
  recent: z.array(z.tuple([z.number(), z.number()])),
});

const readingSchema = z.object({
  upstream: z.string(),
  /** Id and tokens of each part of a prompt that was sent there. */
  parts: z.array(z.tuple([z.string(), z.number()])),
});

/** What an instance tells the others of what it sends to upstreams. */
export const newsSchema = z.object({
  /** Name of the instance. */
  from: z.string(),
  loads: z.array(loadSchema),
  readings: z.array(readingSchema),
  /** Service and tier of the most urgent request that has waited for long. */
  waiting: z.array(z.tuple([z.string(), z.number()])),
});

export type News = z.output<typeof newsSchema>;
export type LoadNews = z.output<typeof loadSchema>;
export type ReadingNews = z.output<typeof readingSchema>;

/** Name of the message. */
export const NEWS_METHOD = 'news';

const addressSchema = z.object({
  host: z.string(),
  port: z.number().int().min(1).max(65_535),
});

/** Where an instance is reached by the others. */
export type FleetAddress = z.output<typeof addressSchema>;

/** Reads an address from the record of an instance. */
export function parseAddress(value: Buffer): FleetAddress | undefined {
  try {
    return addressSchema.safeParse(JSON.parse(value.toString('utf8'))).data;
  } catch {
    // The record is of another writer; the caller logs it.
    return undefined;
  }
}
