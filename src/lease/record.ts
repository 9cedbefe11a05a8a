import {z} from 'zod';

/** Stream of the platform's log that holds the lease records. */
export const LEASE_STREAM = 'leases';

const heldLeaseSchema = z.object({
  pool: z.string(),
  /** Fencing number: the offset of the grant. */
  fencing: z.number().int(),
});

const grantSchema = z.object({
  type: z.literal('grant'),
  /** Lets the writer recognize its record after a lost response. */
  id: z.string(),
  pool: z.string(),
  holder: z.string(),
  termMs: z.number().positive(),
  /** The writer had read the stream up to and including this offset. */
  upTo: z.number().int(),
});

const renewalSchema = z.object({
  type: z.literal('renewal'),
  id: z.string(),
  holder: z.string(),
  termMs: z.number().positive(),
  leases: z.array(heldLeaseSchema),
});

const releaseSchema = z.object({
  type: z.literal('release'),
  id: z.string(),
  holder: z.string(),
  leases: z.array(heldLeaseSchema),
});

/** Schema of the records of [[LEASE_STREAM]]. */
export const leaseRecordSchema = z.discriminatedUnion('type', [
  grantSchema,
  renewalSchema,
  releaseSchema,
]);

/** A record of [[LEASE_STREAM]]. */
export type LeaseRecord = z.infer<typeof leaseRecordSchema>;
/** A request for a pool's lease; [[LeaseTable]] decides if it is valid. */
export type LeaseGrant = z.infer<typeof grantSchema>;
