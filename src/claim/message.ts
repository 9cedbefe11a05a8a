import {z} from 'zod';
import {
  answerSchema,
  claimSchema,
  logEntrySchema,
  resultSchema,
} from './record.js';

/** Method by which an instance has the home of a key append an entry. */
export const SUBMIT_METHOD = 'claim.submit';
/** Method by which an instance waits for an attempt that a peer holds. */
export const ATTACH_METHOD = 'claim.attach';

/** Parameters of [[SUBMIT_METHOD]]. */
export const submitParamsSchema = z.object({
  partition: z.number().int().min(0),
  entry: logEntrySchema,
  urgent: z.boolean(),
});

/** Answer to [[SUBMIT_METHOD]]. */
export const submitResultSchema = z.discriminatedUnion('type', [
  z.object({type: z.literal('won'), offset: z.number()}),
  z.object({type: z.literal('held'), claim: claimSchema}),
  z.object({
    type: z.literal('ended'),
    claim: claimSchema,
    result: resultSchema,
    offset: z.number(),
  }),
  z.object({type: z.literal('void')}),
  z.object({type: z.literal('recorded')}),
  /** The entry may or may not be in the log. */
  z.object({type: z.literal('failed')}),
]);

/** Parameters of [[ATTACH_METHOD]]. */
export const attachParamsSchema = z.object({
  attempt: z.string(),
  waitMs: z.number().min(0),
});

/** Answer to [[ATTACH_METHOD]]. */
export const attachResultSchema = z.discriminatedUnion('type', [
  z.object({type: z.literal('running')}),
  z.object({type: z.literal('abandoned')}),
  /** The peer does not know the attempt. */
  z.object({type: z.literal('missing')}),
  z.object({
    type: z.literal('ended'),
    result: z.object({
      outcome: z.enum(['completed', 'failed', 'unknown']),
      failure: z.string().optional(),
      answer: answerSchema.optional(),
    }),
  }),
]);

/** Parameters of [[SUBMIT_METHOD]]. */
export type SubmitParams = z.output<typeof submitParamsSchema>;
/** Answer to [[SUBMIT_METHOD]]. */
export type SubmitResult = z.output<typeof submitResultSchema>;
/** Answer to [[ATTACH_METHOD]]. */
export type AttachResult = z.output<typeof attachResultSchema>;
