import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {SchedulingPolicy} from '../admission/policy.js';
import {Level} from '../telemetry/index.js';

const portSchema = z.coerce.number().int().min(0).max(65_535);

/**
 * Schema of the settings of an instance, from flags or `GYPSUMCOURSE_`
 * environment variables.
 */
export const settingsSchema = z.object({
  /** Name of the instance; stays the same over restarts at one address. */
  instance: z
    .string()
    .regex(
      /^[a-z0-9][a-z0-9.-]{0,62}$/,
      'must be lower-case letters, digits, dots and dashes, 1-63',
    ),
  /** Availability zone the instance runs in. */
  zone: z.string().min(1),
  /** Address to listen on and to be reached at by peers. */
  host: z.string().min(1).default('127.0.0.1'),
  /** Address that peers connect to, as host:port; default host and peerPort. */
  advertise: z
    .string()
    .regex(/^[^:]+:\d+$/)
    .optional(),
  /** Port for callers. */
  port: portSchema.default(8080),
  /** Port for peers, TCP and UDP. */
  peerPort: portSchema.default(8081),
  /** Port for operators; not opened without an operator secret. */
  operatorPort: portSchema.default(8082),
  /** Base URL of the platform's log. */
  logUrl: z.url(),
  /** How long the log keeps a record, in ms. */
  logRetentionMs: z.coerce.number().int().min(60_000).default(3_600_000),
  /** Base URL of the platform's list of live and leaving instances. */
  listUrl: z.url().optional(),
  /** Base URL of the platform's weight store. */
  weightsUrl: z.url().optional(),
  /** Addresses of peers to join first, as host:port. */
  seeds: z.array(z.string().regex(/^[^:]+:\d+$/)).default([]),
  /** Secrets that all peers share, newest first; several during rotation. */
  peerSecrets: z.array(z.string().min(16)).default([]),
  /** Secret that operators authenticate with. */
  operatorSecret: z.string().min(16).optional(),
  /** Secret sent with orders to engines that authenticate them. */
  orderToken: z.string().min(16).optional(),
  /** Term of a lease in ms; must be the same for all instances. */
  leaseTermMs: z.coerce.number().int().min(2_000).default(15_000),
  /** PEM files for TLS between peers; all three or none. */
  peerCert: z.string().optional(),
  peerKey: z.string().optional(),
  peerCa: z.string().optional(),
  /** How long an idempotency key may be used after its issue, in ms. */
  keyWindowMs: z.coerce.number().int().min(10_000).default(600_000),
  /** Scheduling policy. */
  policy: z.enum(SchedulingPolicy).default(SchedulingPolicy.Current),
  /** Whether traces and metrics of requests are recorded. */
  telemetry: z.enum(['on', 'off']).default('on'),
  logLevel: z.enum(Level).default(Level.Info),
});

/** Validated settings of one instance. */
export type Settings = z.output<typeof settingsSchema>;

/** The settings that are invalid, each with the reason. */
export interface InvalidSettings {
  type: 'invalidSettings';
  problems: Array<{setting: string; reason: string}>;
}

/** Validates settings. An error lists all problems, not only the first. */
export function checkSettings(
  candidate: unknown,
): Result<Settings, InvalidSettings> {
  const parsed = settingsSchema.safeParse(candidate);
  if (parsed.success) return ok(parsed.data);
  const problems = parsed.error.issues.map(issue => ({
    setting: issue.path.join('.'),
    reason: isMissing(issue, candidate) ? 'is required' : issue.message,
  }));
  return err({type: 'invalidSettings', problems});
}

function isMissing(issue: z.core.$ZodIssue, candidate: unknown): boolean {
  const [name] = issue.path;
  return (
    issue.code === 'invalid_type' &&
    issue.path.length === 1 &&
    typeof candidate === 'object' &&
    (candidate as Record<PropertyKey, unknown>)[name ?? ''] === undefined
  );
}
