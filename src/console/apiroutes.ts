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

/** What the programs' side of the operators' listener needs. */
export interface ApiDependencies {
  authenticator: Authenticator;
  reporter: Reporter;
  recorder: MeteredRecorder;
  /** Root logger, whose level can be changed. */
  root: Logger;
  gauges: () => InstanceGauges;
}

type Answerer = (
  message: IncomingMessage,
  response: ServerResponse,
  params: Record<string, string | undefined>,
) => Promise<void> | void;

const levelSchema = z.object({level: z.enum(Level)});

/** Adds the routes that programs use, with the secret as a bearer token. */
export function addApiRoutes(
  routes: findMyWay.Instance<findMyWay.HTTPVersion.V1>,
  parts: ApiDependencies,
): void {
  const {reporter, root} = parts;
  const guarded =
    (answer: Answerer): findMyWay.Handler<findMyWay.HTTPVersion.V1> =>
    async (message, response, params) => {
      if (parts.authenticator.hasBearerSecret(message)) {
        await answer(message, response, params);
        return;
      }
      sendJson(response, 401, {error: {type: 'unauthenticated'}});
    };
  routes.on(
    'GET',
    '/metrics',
    guarded((_message, response) => sendMetrics(response, parts)),
  );
  routes.on(
    'GET',
    '/api/log-level',
    guarded((_message, response) =>
      sendJson(response, 200, {level: root.level}),
    ),
  );
  routes.on(
    'PUT',
    '/api/log-level',
    guarded((message, response) => changeLevel(message, response, root)),
  );
  routes.on(
    'GET',
    '/api/burn',
    guarded(async (_message, response) =>
      sendJson(response, 200, await reporter.burn()),
    ),
  );
  routes.on(
    'GET',
    '/api/requests/:request',
    guarded(async (_message, response, params) =>
      sendJson(response, 200, await reporter.explain(params['request'] ?? '')),
    ),
  );
  routes.on(
    'GET',
    '/api/fleet',
    guarded(async (_message, response) =>
      sendJson(response, 200, await reporter.fleet()),
    ),
  );
}

function sendMetrics(response: ServerResponse, parts: ApiDependencies): void {
  const metrics = [
    ...metricsOf(parts.recorder.totals),
    ...gaugeMetrics(parts.gauges()),
  ];
  sendText(response, 200, METRICS_CONTENT_TYPE, formatMetrics(metrics));
}

async function changeLevel(
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
