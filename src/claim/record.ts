import {z} from 'zod';

/** Schema of [[Holder]]. */
const holderSchema = z.object({
  name: z.string(),
  incarnation: z.number(),
  host: z.string(),
  port: z.number(),
});

/** Schema of [[ClaimEntry]]. */
export const claimSchema = z.object({
  type: z.literal('claim'),
  /** Id of the key, see [[claimId]]. */
  key: z.string(),
  /** Id of the attempt that claims the key; unique over all time. */
  attempt: z.string(),
  /** Number of earlier attempts that the caller reports. */
  ordinal: z.number(),
  /** SHA-256 of method, path and body, in hexadecimal. */
  digest: z.string(),
  holder: holderSchema,
});

const releaseSchema = z.object({
  type: z.literal('release'),
  key: z.string(),
  /** The attempt, which was not and will not be dispatched. */
  attempt: z.string(),
  /** Later claims of the key with a lower ordinal are void. */
  ordinal: z.number(),
});

/** Schema of [[RecordedAnswer]]. */
export const answerSchema = z.object({
  status: z.number(),
  contentType: z.string(),
  /** The body in base64. */
  body: z.string(),
});

/** Schema of [[ResultEntry]]. */
export const resultSchema = z.object({
  type: z.literal('result'),
  key: z.string(),
  attempt: z.string(),
  outcome: z.enum(['completed', 'failed', 'unknown']),
  /** Type of the failure; absent if the attempt completed. */
  failure: z.string().optional(),
  /** The complete answer, if it is small enough for the log. */
  answer: answerSchema.optional(),
});

/** Schema of [[LogEntry]]. */
export const logEntrySchema = z.discriminatedUnion('type', [
  claimSchema,
  releaseSchema,
  resultSchema,
]);

/** Schema of [[ClaimsRecord]]. */
export const claimsRecordSchema = z.object({
  type: z.literal('claims'),
  /**
   * Unique id of the batch. After the response to an append was lost, it tells
   * whether the batch is in the stream.
   */
  id: z.string(),
  entries: z.array(logEntrySchema),
});

/** Identity and address of the instance that may dispatch a claimed request. */
export type Holder = z.output<typeof holderSchema>;
/** Claims a key, so that only this attempt may be dispatched under it. */
export type ClaimEntry = z.output<typeof claimSchema>;
/** Releases a key whose attempt was not and will not be dispatched. */
export type ReleaseEntry = z.output<typeof releaseSchema>;
/** Records how the dispatched attempt of a key ended. */
export type ResultEntry = z.output<typeof resultSchema>;
/** A complete answer to a keyed request, as given to later attempts. */
export type RecordedAnswer = z.output<typeof answerSchema>;
/** An entry of a claims stream. */
export type LogEntry = z.output<typeof logEntrySchema>;
/** A record of a claims stream: a batch of entries appended together. */
export type ClaimsRecord = z.output<typeof claimsRecordSchema>;

/** Returns the name of the log stream that holds a partition's claims. */
export function claimsStreamName(partition: number): string {
  return `claims-${partition}`;
}
