import {z} from 'zod';

/** The instance that may dispatch a claimed request. */
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
  /** Attempts the caller made before this one, as the caller tells. */
  ordinal: z.number(),
  /** SHA-256 of method, path and body, in hexadecimal. */
  digest: z.string(),
  holder: holderSchema,
});

const releaseSchema = z.object({
  type: z.literal('release'),
  key: z.string(),
  /** The attempt that was not and will not be dispatched. */
  attempt: z.string(),
  /** Claims of the key that follow with a lower ordinal are void. */
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
  /** Type of the failure; absent after completion. */
  failure: z.string().optional(),
  /** The whole answer, when it is small. */
  answer: answerSchema.optional(),
});

/** Schema of [[Entry]]. */
export const logEntrySchema = z.discriminatedUnion('type', [
  claimSchema,
  releaseSchema,
  resultSchema,
]);

/** A record of a claims stream: entries that were appended together. */
export const claimsRecordSchema = z.object({
  type: z.literal('claims'),
  /** Unique id, by which an append whose answer was lost is found again. */
  id: z.string(),
  entries: z.array(logEntrySchema),
});

/** Identity and address of the instance that holds a claim. */
export type Holder = z.output<typeof holderSchema>;
/** An attempt's wish to be the only one dispatched under a key. */
export type ClaimEntry = z.output<typeof claimSchema>;
/** A holder's statement that it never dispatched and never will. */
export type ReleaseEntry = z.output<typeof releaseSchema>;
/** How the dispatched attempt of a key ended. */
export type ResultEntry = z.output<typeof resultSchema>;
/** An answer as it is recorded. */
export type RecordedAnswer = z.output<typeof answerSchema>;
/** One entry of a claims stream. */
export type LogEntry = z.output<typeof logEntrySchema>;
/** One record of a claims stream. */
export type ClaimsRecord = z.output<typeof claimsRecordSchema>;

/** Returns the name of the log stream of a partition. */
export function claimsStreamName(partition: number): string {
  return `claims-${partition}`;
}
