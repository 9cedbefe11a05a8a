import {z} from 'zod';
import {
  answerSchema,
  claimSchema,
  logEntrySchema,
  resultSchema,
} from './record.js';

/** Peer method that asks the owner of a partition to append an entry. */
export const SUBMIT_METHOD = 'claim.submit';
/** Peer method that waits for the end of an attempt that the peer holds. */
export const ATTACH_METHOD = 'claim.attach';

/** Schema of [[SubmitParams]]. */
export const submitParamsSchema = z.object({
  partition: z.number().int().min(0),
  entry: logEntrySchema,
  urgent: z.boolean(),
});

/** Schema of [[SubmitResult]]. */
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
  /** It is unknown whether the entry is in the log. */
  z.object({type: z.literal('failed')}),
]);

/** Schema of the parameters of [[ATTACH_METHOD]]. */
export const attachParamsSchema = z.object({
  attempt: z.string(),
  waitMs: z.number().min(0),
});

/** Schema of [[AttachResult]]. */
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
/** Result of [[SUBMIT_METHOD]]. */
export type SubmitResult = z.output<typeof submitResultSchema>;
/** Result of [[ATTACH_METHOD]]. */
export type AttachResult = z.output<typeof attachResultSchema>;
