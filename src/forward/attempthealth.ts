import {LogEvent} from '../telemetry/logevent.js';
import type {AttemptResult} from './attempt.js';
import type {ForwardDependencies} from './dependencies.js';
import type {Endpoint} from './endpoint.js';
import type {RequestContext} from './requestcontext.js';
import {healthSignalOf} from './retry.js';

/**
 * Updates the health of an upstream after an attempt; `silent`: whether it was
 * ended because the upstream fell silent.
 */
export function recordHealth(
  {timer, logger}: ForwardDependencies,
  {deadline, request}: RequestContext,
  endpoint: Endpoint,
  result: AttemptResult,
  silent: boolean,
): void {
  const sign = healthSignalOf(result);
  if (deadline.signal.aborted && !silent) return;
  if (sign === undefined) return;
  const {health} = endpoint;
  const now = timer.now();
  const outMs = silent ? health.eject(now) : health.observe(sign, now);
  if (outMs === undefined) return;
  logger.warn(
    {
      event: LogEvent.Health,
      upstream: endpoint.id,
      request: request.id,
      sign,
      silent,
      cause: 'cause' in result ? result.cause : undefined,
      heardMsAgo: Math.round(now - endpoint.lastHeardAt),
      outMs,
    },
    'Upstream ejected temporarily after failures.',
  );
}
