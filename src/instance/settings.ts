import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {SchedulingPolicy} from '../admission/policy.js';
import {Level} from '../telemetry/index.js';

const port = z.coerce.number().int().min(0).max(65_535);

/** Settings of one instance, from flags or `GYPSUMCOURSE_` variables. */
export const settingsSchema = z.object({
  /** Name of the instance; stable over restarts at the same address. */
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
  /** Address and port peers are told to use, as host:port. */
  advertise: z
    .string()
    .regex(/^[^:]+:\d+$/)
    .optional(),
  /** Port for callers. */
  port: port.default(8080),
  /** Port for peers, TCP and UDP. */
  peerPort: port.default(8081),
  /** Port for operators; the listener is off without an operator secret. */
  operatorPort: port.default(8082),
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
  /** Secrets shared by peers, newest first; two during rotation. */
  peerSecrets: z.array(z.string().min(16)).default([]),
  /** Secret operators authenticate with. */
  operatorSecret: z.string().min(16).optional(),
  /** Secret sent to engines that check who gives them an order. */
  orderToken: z.string().min(16).optional(),
  /** Term of a lease in ms, the same in the whole fleet. */
  leaseTermMs: z.coerce.number().int().min(2_000).default(15_000),
  /** PEM files for TLS between peers. */
  peerCert: z.string().optional(),
  peerKey: z.string().optional(),
  peerCa: z.string().optional(),
  /** Time after its issue during which an idempotency key may be used, ms. */
  keyWindowMs: z.coerce.number().int().min(10_000).default(600_000),
  /** How requests are scheduled. */
  policy: z.enum(SchedulingPolicy).default(SchedulingPolicy.Current),
  /** Whether requests are traced and counted. */
  telemetry: z.enum(['on', 'off']).default('on'),
  logLevel: z.enum(Level).default(Level.Info),
});

/** Checked settings of one instance. */
export type Settings = z.output<typeof settingsSchema>;

/** A setting that was refused. */
export interface InvalidSettings {
  type: 'invalidSettings';
  problems: Array<{setting: string; reason: string}>;
}

/** Checks settings. All problems are returned at once. */
export function checkSettings(
  candidate: unknown,
): Result<Settings, InvalidSettings> {
  const parsed = settingsSchema.safeParse(candidate);
  if (parsed.success) return ok(parsed.data);
  const problems = parsed.error.issues.map(issue => ({
    setting: issue.path.join('.'),
    reason: missing(issue, candidate) ? 'is required' : issue.message,
  }));
  return err({type: 'invalidSettings', problems});
}

function missing(issue: z.core.$ZodIssue, candidate: unknown): boolean {
  const [name] = issue.path;
  return (
    issue.code === 'invalid_type' &&
    issue.path.length === 1 &&
    typeof candidate === 'object' &&
    (candidate as Record<PropertyKey, unknown>)[name ?? ''] === undefined
  );
}
