import type {IncomingMessage, ServerResponse} from 'node:http';
import findMyWay from 'find-my-way';
import type {EngineOrder} from '../src/order/index.js';
import {CHARACTERS_PER_BLOCK} from '../src/upstream/index.js';
import {Batch} from './batch.js';
import {ENGINE_DEFAULTS, type EngineBehaviour} from './enginebehaviour.js';
import {CacheEvents, PrefixCache} from './prefixcache.js';
import {Generation} from './generation.js';
import {
  jsonOf,
  sendJson,
  serveRoutes,
  type Routes,
  type StandIn,
} from './http.js';
import {KvTransfer} from './kvtransfer.js';
import {Models} from './models.js';
import {Orders, OrderVerdict, type JournaledOrder} from './orders.js';
import {LaggingReport} from './delayedreport.js';
import type {EngineExecution} from './sequence.js';
import {Streams} from './streams.js';

const EVENTS_PER_PAGE = 1_000;

/** The running stand-in engine. */
export interface EngineStandIn extends StandIn {
  behaviour: EngineBehaviour;
  journal: EngineExecution[];
  orders: JournaledOrder[];
}

/** The parts of a stand-in engine, connected. */
class Engine {
  readonly events: CacheEvents;
  readonly cache: PrefixCache;
  readonly batch: Batch;
  readonly streams: Streams;
  readonly models: Models;
  readonly orders: Orders;
  readonly kv: KvTransfer;
  readonly generation: Generation;
  readonly report;

  constructor(
    readonly behaviour: EngineBehaviour,
    private readonly crash: () => void,
  ) {
    this.events = new CacheEvents(behaviour);
    this.cache = new PrefixCache(behaviour, this.events);
    this.batch = new Batch(behaviour, this.cache);
    this.streams = new Streams(behaviour, this.batch);
    this.models = new Models(behaviour);
    this.orders = new Orders(behaviour, this.models);
    this.kv = new KvTransfer(behaviour, this.cache);
    this.generation = new Generation(
      behaviour,
      this.batch,
      this.streams,
      this.models,
    );
    this.report = new LaggingReport(
      () => this.load(),
      () => behaviour.reportLagMs,
    );
  }

  /** Routes for callers. */
  routeGeneration(routes: Routes): void {
    for (const path of ['/v1/chat/completions', '/v1/completions'] as const) {
      routes.on('POST', path, (message, response) =>
        this.generation.serve(message, response),
      );
    }
    routes.on('GET', '/v1/streams/:id', (message, response, params) =>
      this.resume(message, response, params['id'] ?? ''),
    );
    routes.on('POST', '/v1/streams/:id/cancel', (_message, response, params) =>
      this.streams.cancel(params['id'] ?? '')
        ? sendJson(response, 200, {})
        : sendJson(response, 404, {error: 'unknownStream'}),
    );
  }

  /** Routes for the router's control of the engine. */
  routeControl(routes: Routes): void {
    routes.on('GET', '/load', (_message, response) => {
      sendJson(response, 200, this.report.read());
    });
    routes.on('GET', '/cache/events', (message, response) => {
      const query = new URL(message.url ?? '', 'http://engine').searchParams;
      const from = Number(query.get('from') ?? 0);
      const limit = Number(query.get('limit') ?? EVENTS_PER_PAGE);
      const page = this.events.page(from, Math.min(limit, EVENTS_PER_PAGE));
      sendJson(response, 200, {blockCharacters: CHARACTERS_PER_BLOCK, ...page});
    });
    routes.on('POST', '/kv/export', (message, response) =>
      this.kv.export(message, response),
    );
    routes.on('POST', '/kv/import', (message, response) =>
      this.kv.import(message, response),
    );
    routes.on('POST', '/orders', (message, response) =>
      this.order(message, response),
    );
    routes.on('GET', '/orders', (_message, response) => {
      sendJson(response, 200, this.orders.journal);
    });
    routes.on('GET', '/models', (_message, response) => {
      sendJson(response, 200, this.held());
    });
  }

  /** Routes for tests. */
  routeTests(routes: Routes): void {
    routes.on('GET', '/journal', (_message, response) => {
      sendJson(response, 200, this.batch.journal);
    });
    routes.on('GET', '/usage', (_message, response) => {
      const {refused} = this.generation;
      sendJson(response, 200, {refused, kv: this.kv.usage});
    });
    routes.on('PUT', '/behaviour', async (message, response) => {
      Object.assign(this.behaviour, await jsonOf(message));
      sendJson(response, 200, this.behaviour);
    });
    routes.on('POST', '/crash', () => this.crash());
  }

  close(): void {
    this.batch.stop();
    this.streams.close();
    this.report.close();
  }

  private resume(
    message: IncomingMessage,
    response: ServerResponse,
    id: string,
  ): void {
    const stream = this.streams.find(id);
    if (stream === undefined) {
      return sendJson(response, 404, {error: 'unknownStream'});
    }
    const last = Number(message.headers['last-event-id'] ?? -1);
    stream.attach(response, last + 1);
  }

  private load() {
    const load = this.batch.load();
    if (!this.behaviour.requireLoaded) return load;
    return {...load, models: this.models.names()};
  }

  private held() {
    return {...this.models.state(), fencing: this.orders.highest};
  }

  private async order(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const order = (await jsonOf(message)) as unknown as EngineOrder;
    if (!this.orders.permits(message.headers.authorization)) {
      return sendJson(response, 403, {error: 'unknownSender'});
    }
    const verdict = this.orders.take(order);
    switch (verdict) {
      case OrderVerdict.Executed:
      case OrderVerdict.Repeated:
        return sendJson(response, 202, {verdict, ...this.held()});
      case OrderVerdict.Stale: {
        const {highest} = this.orders;
        return sendJson(response, 409, {error: 'staleFencing', highest});
      }
      case OrderVerdict.NoRoom:
        return sendJson(response, 507, {error: 'noRoom'});
    }
  }
}

/**
 * Starts a stand-in model engine with an OpenAI-compatible API and the control
 * routes of docs/design/upstreams.md. `GET /journal` tells what was run,
 * `PUT /behaviour` changes [[EngineBehaviour]], and `POST /crash` calls
 * `crash`, which ends the process when the engine has one of its own.
 */
export async function startEngine(
  port = 0,
  initial: Partial<EngineBehaviour> = {},
  crash?: () => void,
): Promise<EngineStandIn> {
  const behaviour = {...ENGINE_DEFAULTS, ...initial};
  const routes = findMyWay();
  const engine = new Engine(behaviour, crash ?? (() => void served.close()));
  engine.routeGeneration(routes);
  engine.routeControl(routes);
  engine.routeTests(routes);
  const served = await serveRoutes(routes, port);
  return {
    ...served,
    behaviour,
    journal: engine.batch.journal,
    orders: engine.orders.journal,
    close: () => {
      engine.close();
      return served.close();
    },
  };
}
