import {z} from 'zod';

/** Id of an upstream and the start of its process, in Unix ms; 0 if unknown. */
export const processSchema = z.tuple([z.string(), z.number()]);

export type UpstreamProcess = z.output<typeof processSchema>;

/** A string that identifies the process of an upstream. */
export function processKey([id, startedAt]: UpstreamProcess): string {
  return `${id} ${startedAt}`;
}

/** What the process of an upstream declared of its rate. */
export const rateStatementSchema = z.tuple([
  /** upstream */
  z.string(),
  /** startedAt */
  z.number(),
  /** Requests a second; null if it declares no rate any more. */
  z.number().min(0).nullable(),
  /** Age of the statement, in ms. */
  z.number().min(0),
]);

export type RateStatement = z.output<typeof rateStatementSchema>;

/** Name of the method by which an instance asks for permits. */
export const WANT_METHOD = 'wantPermits';

/** Parameters of [[WANT_METHOD]]. */
export const wantMessageSchema = z.object({
  /** Name of the sending instance. */
  from: z.string(),
  wants: z.array(
    z.object({
      /** Number of the want. */
      id: z.number().int(),
      statement: rateStatementSchema,
      count: z.number().int().min(1).max(1_000),
      tier: z.number().optional(),
      /** Instance that issues nothing for now, and for how long, in ms. */
      declinedBy: z.tuple([z.string(), z.number().min(0)]).optional(),
    }),
  ),
});

export type WantMessage = z.output<typeof wantMessageSchema>;

/** Name of the method by which an instance answers wants. */
export const PERMITS_METHOD = 'permits';

/** Parameters of [[PERMITS_METHOD]]. */
export const permitsMessageSchema = z.object({
  /** Name of the sending instance. */
  from: z.string(),
  answers: z.array(
    z.object({
      upstream: processSchema,
      /** Number of the want. */
      id: z.number().int(),
      /** Permits given. */
      count: z.number().int().min(0).max(1_000),
      /** Expected time until the next permit, in ms. */
      waitMs: z.number().min(0).optional(),
      /** Name of the instance to ask instead. */
      issuer: z.string().optional(),
      /** Time for which the sender leaves issuing to others, in ms. */
      settlesMs: z.number().min(0).optional(),
    }),
  ),
});

export type PermitsMessage = z.output<typeof permitsMessageSchema>;
export type PermitAnswer = PermitsMessage['answers'][number];
