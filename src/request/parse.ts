import {createHash} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {v7 as uuidv7} from 'uuid';
import {z} from 'zod';
import {
  Lookup,
  type AcceptedConfiguration,
  type Configuration,
  type Pool,
  type ServiceClass,
  type Workspace,
} from '../config/index.js';
import {KEY_TIME_HEADER, keyIssueTime} from '../claim/index.js';
import {describeIssue, listOf} from '../telemetry/index.js';
import type {Timer} from '../timer/index.js';
import {BodyTooLong, promptText, readBounded} from '../upstream/index.js';
import type {Failure} from './outcome.js';
import type {Demand, ParsedRequest} from './work.js';

/** Header with the name of the service class of a request. */
export const CLASS_HEADER = 'gypsumcourse-class';
/** Header with the deadline of a request, in ms after its arrival. */
export const DEADLINE_HEADER = 'gypsumcourse-deadline-ms';
/** Header that marks a request as repeatable (`true`) or not (`false`). */
export const REPEATABLE_HEADER = 'gypsumcourse-repeatable';
/** Header with the number of earlier attempts of the same request. */
export const ATTEMPT_HEADER = 'gypsumcourse-prior-attempts';
/** Header that asks to keep a stream for resumption after a disconnect. */
export const RESUMABLE_HEADER = 'gypsumcourse-resumable';
/** Standard header with the idempotency key of a request. */
export const KEY_HEADER = 'idempotency-key';

const BODY_LIMIT_BYTES = 8 * 1024 * 1024;
const BODY_TIMEOUT_MS = 30_000;
const DEADLINE_LIMIT_MS = 24 * 3_600_000;

const messageSchema = z.object({
  role: z.string(),
  content: z.union([z.string(), z.array(z.unknown()), z.null()]).optional(),
});

const generationSchema = z.object({
  model: z.string(),
  stream: z.boolean().nullish(),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish(),
  messages: listOf(messageSchema, 1).optional(),
  prompt: z.union([z.string(), listOf(z.string())]).optional(),
});

/** Reads the request body, up to a maximum size and time. */
export async function readBody(
  message: IncomingMessage,
  timer: Timer,
): Promise<Result<Buffer, Failure>> {
  let timedOut = false;
  const timeoutTimer = timer.after(BODY_TIMEOUT_MS, () => {
    timedOut = true;
    message.destroy();
  });
  try {
    return ok(await readBounded(message, BODY_LIMIT_BYTES));
  } catch (cause) {
    if (cause instanceof BodyTooLong) {
      return err({type: 'bodyTooLarge', limitBytes: BODY_LIMIT_BYTES});
    }
    if (timedOut) return err({type: 'slowCaller', limitMs: BODY_TIMEOUT_MS});
    return err({type: 'cancelled'});
  } finally {
    timeoutTimer.end();
  }
}

/** Finds the workspace of a bearer key; compares hashes in constant time. */
export function authenticate(
  message: IncomingMessage,
  configuration: Configuration,
): Result<Workspace, Failure> {
  const header = message.headers.authorization ?? '';
  const [scheme, key] = header.split(' ', 2);
  if (scheme?.toLowerCase() !== 'bearer' || key === undefined) {
    return err({type: 'unauthenticated'});
  }
  const digest = createHash('sha256').update(key).digest();
  const found = Lookup.of(configuration).workspace(digest);
  if (found === undefined) return err({type: 'unauthenticated'});
  return ok(found);
}

/** First value of a header, if it was sent. */
function firstValue(
  message: IncomingMessage,
  header: string,
): string | undefined {
  const value = message.headers[header];
  return Array.isArray(value) ? value[0] : value;
}

/** Number of earlier attempts that the caller reports; 0 if invalid. */
function priorAttempts(message: IncomingMessage): number {
  const count = Number(firstValue(message, ATTEMPT_HEADER) ?? 0);
  return Number.isSafeInteger(count) && count > 0 ? count : 0;
}

/** Whether an earlier attempt with the same idempotency key may have run. */
export function isKeyedRetry(message: IncomingMessage): boolean {
  const hasKey = firstValue(message, KEY_HEADER) !== undefined;
  return hasKey && priorAttempts(message) > 0;
}

function chooseClass(
  message: IncomingMessage,
  workspace: Workspace,
  configuration: Configuration,
): Result<ServiceClass, Failure> {
  const name =
    firstValue(message, CLASS_HEADER) ??
    workspace.defaultClass ??
    workspace.classes[0] ??
    '';
  const found = Lookup.of(configuration).serviceClass(name);
  if (found === undefined || !workspace.classes.includes(name)) {
    return err({type: 'forbiddenClass', name});
  }
  return ok(found);
}

function parseDeadline(
  message: IncomingMessage,
  serviceClass: ServiceClass,
): Result<number, Failure> {
  const value = firstValue(message, DEADLINE_HEADER);
  if (value === undefined) return ok(serviceClass.deadlineMs);
  const deadline = Number(value);
  if (!(deadline > 0 && deadline <= DEADLINE_LIMIT_MS)) {
    return err({type: 'badRequest', reason: `${DEADLINE_HEADER} is invalid`});
  }
  return ok(deadline);
}

function parseRepeatable(
  message: IncomingMessage,
  serviceClass: ServiceClass,
  pool: Pool | undefined,
  path: string,
): Result<boolean, Failure> {
  const value = firstValue(message, REPEATABLE_HEADER);
  if (value !== undefined && value !== 'true' && value !== 'false') {
    return err({
      type: 'badRequest',
      reason: `${REPEATABLE_HEADER} must be true or false`,
    });
  }
  if (value === 'false' || !serviceClass.repeatable) return ok(false);
  if (pool?.kind === 'service') {
    const isExcluded = pool.notRepeatable.some(prefix =>
      path.startsWith(prefix),
    );
    if (isExcluded) return ok(false);
  }
  return ok(true);
}

/** The API or service that a request path addresses. */
export type Target =
  | {type: 'chat' | 'completion'; path: string}
  | {type: 'service'; service: string; path: string};

function parseGeneration(
  target: Target,
  body: Buffer,
): Result<Demand, Failure> {
  let json: unknown;
  try {
    json = JSON.parse(body.toString('utf8'));
  } catch {
    return err({type: 'badRequest', reason: 'the body is not JSON'});
  }
  const parsed = generationSchema.safeParse(json);
  if (!parsed.success) {
    return err({type: 'badRequest', reason: describeIssue(parsed.error)});
  }
  const {model, stream, max_tokens, max_completion_tokens} = parsed.data;
  const requiredField = target.type === 'chat' ? 'messages' : 'prompt';
  if (parsed.data[requiredField] === undefined) {
    return err({type: 'badRequest', reason: `${requiredField} is required`});
  }
  const [name = '', adapter] = model.split(':', 2);
  const maxTokens = max_completion_tokens ?? max_tokens ?? undefined;
  return ok({
    type: 'generation',
    model: name,
    prompt: promptText(parsed.data),
    stream: stream === true,
    ...(adapter === undefined ? {} : {adapter}),
    ...(maxTokens === undefined ? {} : {maxTokens}),
  });
}

function poolOf(
  configuration: Configuration,
  demand: Demand,
): Pool | undefined {
  const lookup = Lookup.of(configuration);
  switch (demand.type) {
    case 'generation':
      return lookup.poolOfModel(demand.model);
    case 'service':
      return lookup.poolOfService(demand.service);
  }
}

/** Parses and authenticates a request with the active configuration. */
export function parseRequest(
  message: IncomingMessage,
  target: Target,
  body: Buffer,
  {version, document}: AcceptedConfiguration,
  timer: Timer,
): Result<ParsedRequest, Failure> {
  const workspace = authenticate(message, document);
  if (workspace.isErr()) return err(workspace.error);
  const serviceClass = chooseClass(message, workspace.value, document);
  if (serviceClass.isErr()) return err(serviceClass.error);
  const demand: Result<Demand, Failure> =
    target.type === 'service'
      ? ok({type: 'service', service: target.service})
      : parseGeneration(target, body);
  if (demand.isErr()) return err(demand.error);
  const pool = poolOf(document, demand.value);
  if (pool === undefined) return err(unknownTarget(demand.value));
  const deadline = parseDeadline(message, serviceClass.value);
  if (deadline.isErr()) return err(deadline.error);
  const repeatable = parseRepeatable(
    message,
    serviceClass.value,
    pool,
    target.path,
  );
  if (repeatable.isErr()) return err(repeatable.error);
  const key = firstValue(message, KEY_HEADER);
  const issuedAt =
    key === undefined
      ? undefined
      : keyIssueTime(key, firstValue(message, KEY_TIME_HEADER));
  const arrivedAt = timer.now();
  return ok({
    id: uuidv7(),
    workspace: workspace.value,
    serviceClass: serviceClass.value,
    configurationVersion: version,
    demand: demand.value,
    method: message.method ?? 'POST',
    path: target.path,
    contentType: message.headers['content-type'] ?? 'application/json',
    body,
    repeatable: repeatable.value,
    ...(key === undefined ? {} : {idempotencyKey: key}),
    ...(issuedAt === undefined ? {} : {keyIssuedAt: issuedAt}),
    arrivedAt,
    deadlineAt: arrivedAt + deadline.value,
    resumable: firstValue(message, RESUMABLE_HEADER) === 'true',
    priorAttempts: priorAttempts(message),
  });
}

function unknownTarget(demand: Demand): Failure {
  switch (demand.type) {
    case 'generation':
      return {type: 'unknownModel', model: demand.model};
    case 'service':
      return {type: 'unknownService', service: demand.service};
  }
}
