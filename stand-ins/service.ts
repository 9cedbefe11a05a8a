import {createHash} from 'node:crypto';
import findMyWay from 'find-my-way';
import {bodyOf, jsonOf, sendJson, serveRoutes, type StandIn} from './http.js';

/** How a stand-in service behaves. */
export interface ServiceBehaviour {
  /** Time a call takes in ms. */
  delayMs: number;
  leaving: boolean;
}

/** One execution, as the service's journal keeps it. */
export interface ServiceExecution {
  id: string;
  method: string;
  path: string;
  key?: string;
  digest: string;
  at: number;
}

/** The running stand-in service. */
export interface ServiceStandIn extends StandIn {
  behaviour: ServiceBehaviour;
  journal: ServiceExecution[];
}

/**
 * Starts a stand-in application service. It executes every call it reads, even
 * one repeated with the same key, so that its journal shows repetitions.
 * `GET /load`, `GET /journal` and `PUT /behaviour` are as of the engine.
 */
export async function startService(
  port = 0,
  initial: Partial<ServiceBehaviour> = {},
): Promise<ServiceStandIn> {
  const behaviour = {delayMs: 5, leaving: false, ...initial};
  const journal: ServiceExecution[] = [];
  let running = 0;
  const routes = findMyWay({
    defaultRoute: (message, response) => {
      void (async () => {
        const body = await bodyOf(message);
        const digest = createHash('sha256').update(body).digest('hex');
        const id = String(message.headers['x-request-id'] ?? '');
        const key = message.headers['idempotency-key'];
        journal.push({
          id,
          method: message.method ?? '',
          path: message.url ?? '',
          ...(typeof key === 'string' ? {key} : {}),
          digest,
          at: Date.now(),
        });
        running++;
        await new Promise(resolve => setTimeout(resolve, behaviour.delayMs));
        running--;
        const answer = {path: message.url, digest, execution: journal.length};
        sendJson(response, 200, answer, {'x-request-id': id});
      })();
    },
  });
  routes.on('GET', '/load', (_message, response) => {
    const {leaving} = behaviour;
    sendJson(response, 200, {running, waiting: 0, memory: 0, leaving});
  });
  routes.on('GET', '/journal', (_message, response) => {
    sendJson(response, 200, journal);
  });
  routes.on('PUT', '/behaviour', async (message, response) => {
    Object.assign(behaviour, await jsonOf(message));
    sendJson(response, 200, behaviour);
  });
  const standIn = await serveRoutes(routes, port);
  return {...standIn, behaviour, journal};
}
