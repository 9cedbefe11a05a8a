import findMyWay from 'find-my-way';
import {readJson, sendJson, serveRoutes, type StandIn} from './http.js';

/** An entry of the platform's list of instances. */
export interface ListedInstance {
  name: string;
  /** `instance` for a router instance, `upstream` for an engine or service. */
  kind: 'instance' | 'upstream';
  state: 'live' | 'leaving';
  zone: string;
  /** Peer address of an instance, or URL of an upstream. */
  address: string;
}

/** Configuration of the stand-in instance list. */
export interface InstanceListBehaviour {
  /** Delay in ms before a published list is visible. */
  lagMs: number;
  /** While true, reads are refused with 503. */
  down: boolean;
}

/** A running stand-in instance list. */
export interface InstanceListStandIn extends StandIn {
  behaviour: InstanceListBehaviour;
  /** Replaces the list; it is visible `lagMs` later. */
  publish(instances: ListedInstance[]): void;
}

/**
 * Starts a stand-in for the platform's list of live and leaving instances,
 * which lags behind their actual state. `GET /instances` reads the list,
 * `PUT /instances` replaces it and `PUT /behaviour` changes
 * [[InstanceListBehaviour]].
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
