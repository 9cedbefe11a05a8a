import {LogEvent} from '../telemetry/logevent.js';
import {Path} from '../relay/index.js';
import type {AttemptResult} from './attemptresult.js';
import type {ForwardDependencies} from './dependencies.js';
import type {Endpoint} from './endpoint.js';
import type {RequestContext} from './requestcontext.js';
import {HealthSignal} from './health.js';
import {healthSignalOf} from './retry.js';

/**
 * Whether an attempt shows the health of its upstream. By a direct connection it
 * may show no more than that the own links are cut.
 */
function showsHealth(
  {reachesDirectly}: ForwardDependencies,
  endpoint: Endpoint,
  path: Path,
): boolean {
  return path === Path.Relayed || reachesDirectly(endpoint);
}

/** Updates the health of an upstream after an attempt. */
export function recordHealth(
  dependencies: ForwardDependencies,
  context: RequestContext,
  endpoint: Endpoint,
  result: AttemptResult,
  path: Path,
): void {
  const sign = healthSignalOf(result);
  if (context.deadline.signal.aborted || sign === undefined) return;
  if (!showsHealth(dependencies, endpoint, path)) return;
  const now = dependencies.timer.now();
  const outMs = endpoint.health.observe(sign, now);
  if (outMs === undefined) return;
  const cause = 'cause' in result ? result.cause : undefined;
  logEjection(dependencies, context, endpoint, {sign, cause, outMs});
}

/** Ejects an upstream that is silent during an attempt. */
export function recordSilence(
  dependencies: ForwardDependencies,
  context: RequestContext,
  endpoint: Endpoint,
  path: Path,
): void {
  const now = dependencies.timer.now();
  if (endpoint.health.isEjected(now)) return;
  if (!showsHealth(dependencies, endpoint, path)) return;
  const outMs = endpoint.health.eject(now);
  logEjection(dependencies, context, endpoint, {silent: true, outMs});
}

/**
 * Counts a failure of an upstream whose answer is overdue. It is not ejected for
 * one, which may be due to a lost connection.
 */
export function recordOverdue(
  dependencies: ForwardDependencies,
  context: RequestContext,
  endpoint: Endpoint,
): void {
  const sign = HealthSignal.Broken;
  const outMs = endpoint.health.observe(sign, dependencies.timer.now());
  if (outMs === undefined) return;
  const cause = 'the answer is overdue';
  logEjection(dependencies, context, endpoint, {sign, cause, outMs});
}

function logEjection(
  {timer, logger}: ForwardDependencies,
  {request}: RequestContext,
  endpoint: Endpoint,
  {silent = false, ...details}: Ejection,
): void {
  logger.warn(
    {
      event: LogEvent.Health,
      upstream: endpoint.id,
      request: request.id,
      silent,
      heardMsAgo: Math.round(timer.now() - endpoint.lastHeardAt),
      ...details,
    },
    'Upstream ejected temporarily after failures.',
  );
}

/** Why and for how long an upstream is ejected. */
interface Ejection {
  sign?: HealthSignal;
  silent?: boolean;
  cause?: string | undefined;
  outMs: number;
}
