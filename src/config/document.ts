import {z} from 'zod';

const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/;

const name = z
  .string()
  .regex(NAME_PATTERN, 'must be lower-case letters, digits, dot, dash, 1-63');
const share = z.number().min(0).max(1);
const milliseconds = z.number().int().positive();

/** A region: availability zones with low latency between them. */
export const regionSchema = z.strictObject({name});

/** An availability zone and the region that it belongs to. */
export const zoneSchema = z.strictObject({name, region: name});

/** A paid link between two regions. */
export const linkSchema = z.strictObject({
  between: z.tuple([name, name]),
  oneWayMs: z.number().positive(),
  capacityMbps: z.number().positive(),
  /** The share of the capacity that request traffic may use. */
  share: share.default(0.7),
  pricePerGb: z.number().min(0).default(0),
});

/** Latency targets of a service class. Targets left out are not measured. */
export const targetsSchema = z.strictObject({
  /** Time from arrival to the first token, in ms. */
  firstTokenMs: milliseconds.optional(),
  /** Mean time between tokens, in ms. */
  betweenTokensMs: milliseconds.optional(),
  /** Time from arrival to the end of the answer, in ms. */
  completionMs: milliseconds.optional(),
  /** Time of day in UTC by which a request must be complete, as HH:MM. */
  doneBy: z
    .string()
    .regex(/^([01]\d|2[0-3]):[0-5]\d$/, 'must be HH:MM')
    .optional(),
});

/** Limits on a class or a workspace. Limits left out do not apply. */
export const limitsSchema = z.strictObject({
  /** Maximum requests running at once in the whole fleet. */
  concurrent: z.number().int().positive().optional(),
  /** Maximum requests waiting at once in one instance. */
  queued: z.number().int().positive().optional(),
  /** Maximum requests per second in the whole fleet. */
  requestsPerSecond: z.number().positive().optional(),
});

/** A service class: a priority tier with latency targets and limits. */
export const classSchema = z.strictObject({
  name,
  /** Priority of the class; 0 is the highest tier. */
  tier: z.number().int().min(0).max(6),
  targets: targetsSchema,
  /** The share of requests that must meet the targets, 0 to 1. */
  objective: share.default(0.95),
  /** The share of capacity reserved for the class, 0 to 1. */
  floorShare: share.default(0.02),
  limits: limitsSchema.prefault({}),
  /** Whether a request of the class may be run more than once. */
  repeatable: z.boolean().default(true),
  /** Deadline of a request that sets none, in ms after its arrival. */
  deadlineMs: milliseconds.default(120_000),
  /** Timeout for the first byte of an upstream's response, in ms. */
  firstByteMs: milliseconds.default(10_000),
  /** Longest pause within an upstream's response, in ms. */
  idleMs: milliseconds.default(5_000),
});

/** A workspace: a customer of the fleet with its own API keys. */
export const workspaceSchema = z.strictObject({
  name,
  keys: z
    .array(
      z.strictObject({
        /** SHA-256 of the key, in lower-case hexadecimal. */
        sha256: z.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 in hex'),
      }),
    )
    .min(1),
  classes: z.array(name).min(1),
  /** The class of a request that doesn't name one. */
  defaultClass: name.optional(),
  /** Weight of the workspace in fair sharing within a class. */
  weight: z.number().positive().default(1),
  limits: limitsSchema.prefault({}),
});

/** A model that every runner of a pool can serve. */
export const modelSchema = z.strictObject({
  name: z.string().min(1).max(128),
  adapters: z.array(z.string().min(1).max(128)).default([]),
  version: z.string().min(1).max(64).default('1'),
  /** Minimum number of the pool's runners that keep the model loaded. */
  copies: z.number().int().positive().optional(),
});

/** One upstream: a runner or an instance of a plain service. */
export const upstreamSchema = z.strictObject({
  name,
  zone: name,
  url: z.url({protocol: /^https?$/, error: 'must be an http or https URL'}),
});

/** State of the contract with the company that operates a pool. */
export const contractSchema = z.discriminatedUnion('state', [
  z.strictObject({state: z.literal('active')}),
  z.strictObject({
    state: z.literal('leaving'),
    /** When running requests must have finished, ISO 8601 in UTC. */
    endsAt: z.iso.datetime(),
  }),
  z.strictObject({state: z.literal('ended')}),
]);

/** How an upstream treats an order with an outdated fencing number. */
export const fencingSchema = z.enum(['enforced', 'ignored', 'none']);

const commonPoolFields = {
  name,
  contract: contractSchema.prefault({state: 'active'}),
  /** Whether upstreams of the pool authenticate the sender of an order. */
  checksSender: z.boolean().default(false),
  fencing: fencingSchema.default('none'),
  upstreams: z.array(upstreamSchema).min(1),
  /** Names of upstreams in the pool that get no new requests. */
  leaving: z.array(name).default([]),
};

/** A pool of runners, or a pool of instances of one plain service. */
export const poolSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('runner'),
    models: z.array(modelSchema).min(1),
    ...commonPoolFields,
  }),
  z.strictObject({
    kind: z.literal('service'),
    /** Name of the service in the path `/services/<service>/`. */
    service: name,
    /** Prefixes of paths for which a call must not be retried. */
    notRepeatable: z.array(z.string().startsWith('/')).default([]),
    ...commonPoolFields,
  }),
]);

/** The schema of the whole configuration document. */
export const documentSchema = z.strictObject({
  format: z.literal(1),
  name,
  regions: z.array(regionSchema).min(1),
  zones: z.array(zoneSchema).min(1),
  links: z.array(linkSchema).default([]),
  classes: z.array(classSchema).min(1),
  workspaces: z.array(workspaceSchema).min(1),
  pools: z.array(poolSchema).min(1),
});

/** A validated configuration document, all defaults filled in. */
export type Configuration = z.output<typeof documentSchema>;
/** A configuration document as an operator writes it. */
export type ConfigurationDraft = z.input<typeof documentSchema>;
/** A service class of the configuration. */
export type ServiceClass = z.output<typeof classSchema>;
/** A workspace of the configuration. */
export type Workspace = z.output<typeof workspaceSchema>;
/** A pool of the configuration. */
export type Pool = z.output<typeof poolSchema>;
/** An availability zone of the configuration. */
export type Zone = z.output<typeof zoneSchema>;
/** A link of the configuration. */
export type Link = z.output<typeof linkSchema>;
/** Latency targets of a class. */
export type Targets = z.output<typeof targetsSchema>;
/** Limits of a class or workspace. */
export type Limits = z.output<typeof limitsSchema>;
