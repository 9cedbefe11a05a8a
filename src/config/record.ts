import {z} from 'zod';
import {changeSchema} from './delta.js';

/** Stream of the platform's log with submissions in their binding order. */
export const CONFIGURATION_STREAM = 'configuration';

/** Stream of the platform's log with checkpoints of whole documents. */
export const CHECKPOINT_STREAM = 'configuration-checkpoints';

const commonSubmissionFields = {
  /** Identifies the submission, so that its verdict can be looked up. */
  id: z.string(),
  /** Version the submission is based on; 0 when there is none yet. */
  base: z.number().int(),
  /** Who submitted it, as shown to other operators after a conflict. */
  author: z.string().max(100).optional(),
};

/** A submission of a whole document. */
export const documentSubmissionSchema = z.object({
  type: z.literal('submission'),
  document: z.unknown(),
  ...commonSubmissionFields,
});

/** A submission of changes to the base document. */
export const deltaSubmissionSchema = z.object({
  type: z.literal('delta'),
  changes: z.array(changeSchema),
  ...commonSubmissionFields,
});

/** Marks that a checkpoint was written to [[CHECKPOINT_STREAM]]. */
export const checkpointMarkerSchema = z.object({
  type: z.literal('checkpoint'),
  /** The writer had read the stream up to and including this offset. */
  upTo: z.number().int(),
  version: z.number().int(),
});

/** A record of [[CONFIGURATION_STREAM]]. */
export const configurationRecordSchema = z.discriminatedUnion('type', [
  documentSubmissionSchema,
  deltaSubmissionSchema,
  checkpointMarkerSchema,
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
/** A submission of a whole document or of changes. */
export type Submission = z.output<
  typeof documentSubmissionSchema | typeof deltaSubmissionSchema
>;
/** A whole document and the offset of the last record that it covers. */
export type Checkpoint = z.output<typeof checkpointSchema>;
