import type {IncomingMessage, ServerResponse} from 'node:http';
import findMyWay from 'find-my-way';
import type {EngineOrder} from '../src/order/index.js';
import {CHARACTERS_PER_BLOCK} from '../src/upstream/index.js';
import {Batch} from './batch.js';
import {ENGINE_DEFAULTS, type EngineBehaviour} from './enginebehaviour.js';
import {CacheEvents, PrefixCache} from './prefixcache.js';
import {GenerationHandler} from './generation.js';
import {
  readJson,
  sendJson,
  serveRoutes,
  type Routes,
  type StandIn,
} from './http.js';
import {KvTransfer} from './kvtransfer.js';
import {Models} from './models.js';
import {OrderHandler, OrderVerdict, type JournaledOrder} from './orders.js';
import {DelayedReport} from './delayedreport.js';
import type {EngineExecution} from './sequence.js';
import {ResumableStreams} from './streams.js';

const MAX_EVENTS_PER_PAGE = 1_000;

/** A running stand-in engine. */
export interface EngineStandIn extends StandIn {
  /** Changes take effect at once. */
  behaviour: EngineBehaviour;
  /** Sequences that were started, in order of start. */
  journal: EngineExecution[];
  /** Orders received, executed or not. */
  orders: JournaledOrder[];
}

/** Creates the components of a stand-in engine and the routes to them. */
class Engine {
  readonly cacheEvents: CacheEvents;
  readonly cache: PrefixCache;
  readonly batch: Batch;
  readonly streams: ResumableStreams;
  readonly models: Models;
  readonly orders: OrderHandler;
  readonly kvTransfer: KvTransfer;
  readonly generation: GenerationHandler;
  readonly loadReport;

  constructor(
    readonly behaviour: EngineBehaviour,
    private readonly crash: () => void,
  ) {
    this.cacheEvents = new CacheEvents(behaviour);
    this.cache = new PrefixCache(behaviour, this.cacheEvents);
    this.batch = new Batch(behaviour, this.cache);
    this.streams = new ResumableStreams(behaviour, this.batch);
    this.models = new Models(behaviour);
    this.orders = new OrderHandler(behaviour, this.models);
    this.kvTransfer = new KvTransfer(behaviour, this.cache);
    this.generation = new GenerationHandler(
      behaviour,
      this.batch,
      this.streams,
      this.models,
    );
    this.loadReport = new DelayedReport(
      () => this.load(),
      () => behaviour.reportLagMs,
    );
  }

  /** Adds the routes for generation requests and their streams. */
  routeGeneration(routes: Routes): void {
    for (const path of ['/v1/chat/completions', '/v1/completions'] as const) {
      routes.on('POST', path, (message, response) =>
        this.generation.serve(message, response),
      );
    }
    routes.on('GET', '/v1/streams/:id', (message, response, params) =>
      this.resumeStream(message, response, params['id'] ?? ''),
    );
    routes.on('POST', '/v1/streams/:id/cancel', (_message, response, params) =>
      this.streams.cancel(params['id'] ?? '')
        ? sendJson(response, 200, {})
        : sendJson(response, 404, {error: 'unknownStream'}),
    );
  }

  /**
   * Adds the routes by which the router monitors and controls the engine: load,
   * cache events, KV cache transfer and orders.
   */
  routeControl(routes: Routes): void {
    routes.on('GET', '/load', (_message, response) => {
      sendJson(response, 200, this.loadReport.read());
    });
    routes.on('GET', '/cache/events', (message, response) => {
      const query = new URL(message.url ?? '', 'http://engine').searchParams;
      const from = Number(query.get('from') ?? 0);
      const limit = Number(query.get('limit') ?? MAX_EVENTS_PER_PAGE);
      const page = this.cacheEvents.page(
        from,
        Math.min(limit, MAX_EVENTS_PER_PAGE),
      );
      sendJson(response, 200, {blockCharacters: CHARACTERS_PER_BLOCK, ...page});
    });
    routes.on('POST', '/kv/export', (message, response) =>
      this.kvTransfer.export(message, response),
    );
    routes.on('POST', '/kv/import', (message, response) =>
      this.kvTransfer.import(message, response),
    );
    routes.on('POST', '/orders', (message, response) =>
      this.serveOrder(message, response),
    );
    routes.on('GET', '/orders', (_message, response) => {
      sendJson(response, 200, this.orders.journal);
    });
    routes.on('GET', '/models', (_message, response) => {
      sendJson(response, 200, this.modelState());
    });
  }

  /** Adds the routes by which tests inspect and control the engine. */
  routeTestControl(routes: Routes): void {
    routes.on('GET', '/journal', (_message, response) => {
      sendJson(response, 200, this.batch.journal);
    });
    routes.on('GET', '/usage', (_message, response) => {
      const {refused} = this.generation;
      sendJson(response, 200, {refused, kv: this.kvTransfer.usage});
    });
    routes.on('PUT', '/behaviour', async (message, response) => {
      Object.assign(this.behaviour, await readJson(message));
      sendJson(response, 200, this.behaviour);
    });
    routes.on('POST', '/crash', () => this.crash());
  }

  close(): void {
    this.batch.stop();
    this.streams.close();
    this.loadReport.close();
  }

  private resumeStream(
    message: IncomingMessage,
    response: ServerResponse,
    id: string,
  ): void {
    const stream = this.streams.find(id);
    if (stream === undefined) {
      return sendJson(response, 404, {error: 'unknownStream'});
    }
    const lastEventId = Number(message.headers['last-event-id'] ?? -1);
    stream.attach(response, lastEventId + 1);
  }

  private load() {
    const load = this.batch.load();
    if (!this.behaviour.requireLoaded) return load;
    return {...load, models: this.models.servedNames()};
  }

  private modelState() {
    return {...this.models.state(), fencing: this.orders.maxFencing};
  }

  private async serveOrder(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const order = (await readJson(message)) as unknown as EngineOrder;
    if (!this.orders.authorizes(message.headers.authorization)) {
      return sendJson(response, 403, {error: 'unknownSender'});
    }
    const verdict = this.orders.handle(order);
    switch (verdict) {
      case OrderVerdict.Executed:
      case OrderVerdict.Repeated:
        return sendJson(response, 202, {verdict, ...this.modelState()});
      case OrderVerdict.Stale: {
        const {maxFencing: highest} = this.orders;
        return sendJson(response, 409, {error: 'staleFencing', highest});
      }
      case OrderVerdict.NoRoom:
        return sendJson(response, 507, {error: 'noRoom'});
    }
  }
}

/**
 * Starts a stand-in for a model engine, with an OpenAI-compatible API and the
 * control routes of docs/design/upstreams.md; port 0 picks a free one.
 * `GET /journal` lists the sequences that were started, `PUT /behaviour`
 * changes [[EngineBehaviour]], and `POST /crash` calls `crash`, which by
 * default closes the server. An engine that runs as a process of its own passes
 * a `crash` that exits.
 */
export async function startEngine(
  port = 0,
  initial: Partial<EngineBehaviour> = {},
  crash?: () => void,
): Promise<EngineStandIn> {
  const behaviour = {...ENGINE_DEFAULTS, ...initial};
  const routes = findMyWay();
  const engine = new Engine(behaviour, crash ?? (() => void server.close()));
  engine.routeGeneration(routes);
  engine.routeControl(routes);
  engine.routeTestControl(routes);
  const server = await serveRoutes(routes, port);
  return {
    ...server,
    behaviour,
    journal: engine.batch.journal,
    orders: engine.orders.journal,
    close: () => {
      engine.close();
      return server.close();
    },
  };
}
