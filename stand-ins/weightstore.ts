import findMyWay from 'find-my-way';
import {readJson, sendJson, serveRoutes, type StandIn} from './http.js';

/** Configuration of the stand-in weight store. */
export interface WeightStoreBehaviour {
  /** Bandwidth that all readers share. */
  bytesPerSecond: number;
  /** Size of a model's weights, in bytes. */
  modelBytes: number;
  /** Size of an adapter's weights, in bytes. */
  adapterBytes: number;
  /** While true, fetches and `GET /status` are answered with 503. */
  down: boolean;
  /** Maximum number of concurrent fetches; more are refused with 429. */
  maxReaders: number;
}

const DEFAULTS: WeightStoreBehaviour = {
  bytesPerSecond: 2_000_000_000,
  modelBytes: 20_000_000,
  adapterBytes: 1_000_000,
  down: false,
  maxReaders: 64,
};

/** A fetch of weights in the store's journal. */
export interface WeightFetch {
  /** `MODEL/NAME/VERSION`, where NAME is the model or one of its adapters. */
  weights: string;
  bytes: number;
  /** Wall-clock ms. */
  startedAt: number;
  /** Wall-clock ms; missing while the fetch runs and if it failed. */
  endedAt?: number;
}

/** A running stand-in weight store. */
export interface WeightStoreStandIn extends StandIn {
  behaviour: WeightStoreBehaviour;
  journal: WeightFetch[];
}

/** Serves fetches one after the other at `bytesPerSecond`. */
class WeightStore {
  readonly journal: WeightFetch[] = [];
  private busyUntil = 0;
  private readers = 0;

  constructor(readonly behaviour: WeightStoreBehaviour) {}

  get status() {
    const {down, maxReaders, bytesPerSecond} = this.behaviour;
    const backlogMs = Math.max(0, this.busyUntil - performance.now());
    const {readers} = this;
    return {down, readers, maxReaders, bytesPerSecond, backlogMs};
  }

  get atReaderLimit(): boolean {
    return this.readers >= this.behaviour.maxReaders;
  }

  /** Resolves when the weights are read; to undefined if the store is down. */
  async fetch(
    weights: string,
    adapter: boolean,
  ): Promise<WeightFetch | undefined> {
    const {modelBytes, adapterBytes, bytesPerSecond} = this.behaviour;
    const bytes = adapter ? adapterBytes : modelBytes;
    const entry: WeightFetch = {weights, bytes, startedAt: Date.now()};
    this.journal.push(entry);
    this.readers++;
    const now = performance.now();
    const durationMs = (bytes / bytesPerSecond) * 1000;
    this.busyUntil = Math.max(now, this.busyUntil) + durationMs;
    await new Promise(resolve => setTimeout(resolve, this.busyUntil - now));
    this.readers--;
    if (this.behaviour.down) return undefined;
    entry.endedAt = Date.now();
    return entry;
  }
}

/**
 * Starts a stand-in for the store of model weights.
 * `GET /weights/MODEL/NAME/VERSION` answers after the time that reading the
 * weights at `bytesPerSecond` takes, with their size instead of the weights.
 * `GET /status` answers the number of readers, the backlog in ms and the
 * limits.
 */
export async function startWeightStore(
  port = 0,
  initial: Partial<WeightStoreBehaviour> = {},
): Promise<WeightStoreStandIn> {
  const behaviour = {...DEFAULTS, ...initial};
  const store = new WeightStore(behaviour);
  const routes = findMyWay();
  routes.on(
    'GET',
    '/weights/:model/:name/:version',
    async (_message, response, {model = '', name = '', version = ''}) => {
      if (behaviour.down) return sendJson(response, 503, {error: 'down'});
      if (store.atReaderLimit) return sendJson(response, 429, {error: 'busy'});
      const weights = `${model}/${name}/${version}`;
      const entry = await store.fetch(weights, model !== name);
      if (entry === undefined) return sendJson(response, 503, {error: 'down'});
      sendJson(response, 200, {weights, bytes: entry.bytes});
    },
  );
  routes.on('GET', '/status', (_message, response) => {
    sendJson(response, behaviour.down ? 503 : 200, store.status);
  });
  routes.on('GET', '/journal', (_message, response) => {
    sendJson(response, 200, store.journal);
  });
  routes.on('PUT', '/behaviour', async (message, response) => {
    Object.assign(behaviour, await readJson(message));
    sendJson(response, 200, behaviour);
  });
  const standIn = await serveRoutes(routes, port);
  return {...standIn, behaviour, journal: store.journal};
}
