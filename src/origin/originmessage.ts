import {z} from 'zod';
import {VersionMix} from './softwareversions.js';

/** See [[streamKey]]. */
const keySchema = z.string().max(32);

/** Name of the method by which an instance tells where streams began. */
export const TELL_METHOD = 'streamOrigins';

/** Parameters of [[TELL_METHOD]]. */
export const tellMessageSchema = z.object({
  groups: z.array(
    z.object({
      service: z.string(),
      softwareVersion: z.string(),
      /** Key of each stream, and time for which it may be taken up, in ms. */
      streams: z.array(z.tuple([keySchema, z.number().min(0)])),
    }),
  ),
});

export type TellMessage = z.output<typeof tellMessageSchema>;

/** Name of the method by which an instance asks where a stream began. */
export const FIND_METHOD = 'findStreamOrigin';

/** Parameters of [[FIND_METHOD]]. */
export const findMessageSchema = z.object({
  key: keySchema,
  /** Services whose upstreams may have begun it. */
  services: z.array(z.string()),
});

export type FindMessage = z.output<typeof findMessageSchema>;

const originSchema = z.object({
  service: z.string(),
  softwareVersion: z.string(),
});

/** Result of [[FIND_METHOD]]. An instance that knows nothing gives none. */
export const peerAnswerSchema = z.discriminatedUnion('type', [
  z.object({type: z.literal('known'), origin: originSchema}),
  /** The instance has no record of it, and sees this mix of versions. */
  z.object({
    type: z.literal('unknown'),
    mix: z.enum(VersionMix),
    /**
     * Where the stream began if it was before versions were mixed, from an
     * instance that would know it otherwise. Earlier builds tell none.
     */
    before: originSchema.optional(),
  }),
]);

/** What another instance knows of the origin of a stream. */
export type PeerAnswer = z.output<typeof peerAnswerSchema>;
