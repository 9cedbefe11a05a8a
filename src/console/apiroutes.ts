import type {IncomingMessage, ServerResponse} from 'node:http';
import type findMyWay from 'find-my-way';
import type {Logger} from 'pino';
import {z} from 'zod';
import type {Reporter} from '../report/index.js';
import {
  formatMetrics,
  Level,
  METRICS_CONTENT_TYPE,
  metricsOf,
  setLevel,
  type MeteredRecorder,
} from '../telemetry/index.js';
import {readBody, sendJson, sendText} from './http.js';
import type {Authenticator} from './authenticator.js';
import {gaugeMetrics, type InstanceGauges} from './gauges.js';

/** Dependencies of the JSON and metrics routes for operators' programs. */
export interface ApiDependencies {
  authenticator: Authenticator;
  reporter: Reporter;
  recorder: MeteredRecorder;
  /** Root logger, whose level `/api/log-level` reads and sets. */
  root: Logger;
  gauges: () => InstanceGauges;
}

type ApiHandler = (
  message: IncomingMessage,
  response: ServerResponse,
  params: Record<string, string | undefined>,
) => Promise<void> | void;

const levelSchema = z.object({level: z.enum(Level)});

/**
 * Adds the routes for programs. Each request must carry the operator secret as
 * a bearer token; without it the response has status 401.
 */
export function addApiRoutes(
  routes: findMyWay.Instance<findMyWay.HTTPVersion.V1>,
  dependencies: ApiDependencies,
): void {
  const {reporter, root} = dependencies;
  const authenticated =
    (handle: ApiHandler): findMyWay.Handler<findMyWay.HTTPVersion.V1> =>
    async (message, response, params) => {
      if (dependencies.authenticator.hasBearerSecret(message)) {
        await handle(message, response, params);
        return;
      }
      sendJson(response, 401, {error: {type: 'unauthenticated'}});
    };
  routes.on(
    'GET',
    '/metrics',
    authenticated((_message, response) => sendMetrics(response, dependencies)),
  );
  routes.on(
    'GET',
    '/api/log-level',
    authenticated((_message, response) =>
      sendJson(response, 200, {level: root.level}),
    ),
  );
  routes.on(
    'PUT',
    '/api/log-level',
    authenticated((message, response) =>
      changeLogLevel(message, response, root),
    ),
  );
  routes.on(
    'GET',
    '/api/burn',
    authenticated(async (_message, response) =>
      sendJson(response, 200, await reporter.burn()),
    ),
  );
  routes.on(
    'GET',
    '/api/requests/:request',
    authenticated(async (_message, response, params) =>
      sendJson(response, 200, await reporter.explain(params['request'] ?? '')),
    ),
  );
  routes.on(
    'GET',
    '/api/fleet',
    authenticated(async (_message, response) =>
      sendJson(response, 200, await reporter.fleet()),
    ),
  );
}

function sendMetrics(
  response: ServerResponse,
  dependencies: ApiDependencies,
): void {
  const metrics = [
    ...metricsOf(dependencies.recorder.totals),
    ...gaugeMetrics(dependencies.gauges()),
  ];
  sendText(response, 200, METRICS_CONTENT_TYPE, formatMetrics(metrics));
}

async function changeLogLevel(
  message: IncomingMessage,
  response: ServerResponse,
  root: Logger,
): Promise<void> {
  const body = await readBody(message);
  const parsed = levelSchema.safeParse(parseJson(body.unwrapOr('')));
  if (!parsed.success) {
    const levels = Object.values(Level);
    sendJson(response, 400, {error: {type: 'badLevel', levels}});
    return;
  }
  setLevel(root, parsed.data.level);
  sendJson(response, 200, {level: root.level});
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
