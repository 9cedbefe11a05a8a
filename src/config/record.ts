import {z} from 'zod';
import {changeSchema} from './delta.js';

/** Stream of the platform's log that carries submissions and their order. */
export const CONFIGURATION_STREAM = 'configuration';

/** Stream of the platform's log that carries whole documents for newcomers. */
export const CHECKPOINT_STREAM = 'configuration-checkpoints';

const submissionCommon = {
  /** Identifies the submission, so that a lost answer can be found again. */
  id: z.string(),
  /** Version the submission is based on; 0 when there is none yet. */
  base: z.number().int(),
  /** Who submitted it, as told to others in a conflict. */
  author: z.string().max(100).optional(),
};

/** A submission of a whole document. */
export const wholeSchema = z.object({
  type: z.literal('submission'),
  document: z.unknown(),
  ...submissionCommon,
});

/** A submission of the steps from the base document to the next. */
export const deltaSchema = z.object({
  type: z.literal('delta'),
  changes: z.array(changeSchema),
  ...submissionCommon,
});

/** Tells that a document was written to [[CHECKPOINT_STREAM]]. */
export const markerSchema = z.object({
  type: z.literal('checkpoint'),
  /** The writer had read the stream up to and including this offset. */
  upTo: z.number().int(),
  version: z.number().int(),
});

/** A record of [[CONFIGURATION_STREAM]]. */
export const configurationRecordSchema = z.discriminatedUnion('type', [
  wholeSchema,
  deltaSchema,
  markerSchema,
]);

/** A record of [[CHECKPOINT_STREAM]]. */
export const checkpointSchema = z.object({
  /** The writer had read the stream up to and including this offset. */
  upTo: z.number().int(),
  version: z.number().int(),
  document: z.unknown(),
});

/** A record of [[CONFIGURATION_STREAM]]. */
export type ConfigurationRecord = z.output<typeof configurationRecordSchema>;
/** A submission, whole or as steps. */
export type Submission = z.output<typeof wholeSchema | typeof deltaSchema>;
/** A whole document with the place in the stream that it stands for. */
export type Checkpoint = z.output<typeof checkpointSchema>;
