import findMyWay from 'find-my-way';
import {readJson, sendJson, serveRoutes, type StandIn} from './http.js';

/** One line of the platform's list. */
export interface ListedInstance {
  name: string;
  /** `instance` for ours, `upstream` for runners and services. */
  kind: 'instance' | 'upstream';
  state: 'live' | 'leaving';
  zone: string;
  /** Address for peers, or URL of an upstream. */
  address: string;
}

/** How the stand-in list behaves. */
export interface InstanceListBehaviour {
  /** Age in ms of what the list tells. */
  lagMs: number;
  down: boolean;
}

/** The running stand-in list. */
export interface InstanceListStandIn extends StandIn {
  behaviour: InstanceListBehaviour;
  /** Replaces the list; readers see it `lagMs` later. */
  publish(instances: ListedInstance[]): void;
}

/**
 * Starts a stand-in for the platform's lagging list of live and leaving
 * instances. `GET /instances` reads it, `PUT /instances` replaces it and
 * `PUT /behaviour` changes [[ListBehaviour]].
 */
export async function startInstanceList(
  port = 0,
  initial: Partial<InstanceListBehaviour> = {},
): Promise<InstanceListStandIn> {
  const behaviour = {lagMs: 2_000, down: false, ...initial};
  let visible: ListedInstance[] = [];
  const publish = (instances: ListedInstance[]) => {
    setTimeout(() => {
      visible = instances;
    }, behaviour.lagMs);
  };
  const routes = findMyWay();
  routes.on('GET', '/instances', (_message, response) => {
    if (behaviour.down) return sendJson(response, 503, {error: 'down'});
    sendJson(response, 200, {instances: visible});
  });
  routes.on('PUT', '/instances', async (message, response) => {
    const {instances} = await readJson(message);
    publish(instances as ListedInstance[]);
    sendJson(response, 200, {});
  });
  routes.on('PUT', '/behaviour', async (message, response) => {
    Object.assign(behaviour, await readJson(message));
    sendJson(response, 200, behaviour);
  });
  const standIn = await serveRoutes(routes, port);
  return {...standIn, behaviour, publish};
}
