import {createHash} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import findMyWay from 'find-my-way';
import {
  readBody,
  readJson,
  sendJson,
  serveRoutes,
  type StandIn,
} from './http.js';
import {ReseedableRandom} from './random.js';
import {DelayedReport} from './delayedreport.js';

/** How a stand-in service behaves. */
export interface ServiceBehaviour {
  /** Time a call takes in ms. */
  delayMs: number;
  /** Calls executed at once; more wait. */
  slots: number;
  /** Calls waiting at most; more are refused as not run. */
  maxWaiting: number;
  /** Share of calls refused as not run, with 503. */
  refusedShare: number;
  /** Share of calls that are executed and then answered with 500. */
  errorShare: number;
  /** Share of calls that are executed while their answer is lost. */
  lostAnswerShare: number;
  /** Age of what `GET /load` tells, in ms. */
  reportLagMs: number;
  leaving: boolean;
  /** Seed of everything random. */
  seed: number;
}

const DEFAULTS: ServiceBehaviour = {
  delayMs: 5,
  slots: 256,
  maxWaiting: 10_000,
  refusedShare: 0,
  errorShare: 0,
  lostAnswerShare: 0,
  reportLagMs: 0,
  leaving: false,
  seed: 1,
};

/** One execution, as the service's journal keeps it. */
export interface ServiceExecution {
  id: string;
  method: string;
  path: string;
  key?: string;
  digest: string;
  /** Wall-clock ms at which it took effect. */
  at: number;
}

/** The running stand-in service. */
export interface ServiceStandIn extends StandIn {
  behaviour: ServiceBehaviour;
  journal: ServiceExecution[];
}

/** Executes calls, a bounded number at once. */
class Service {
  readonly journal: ServiceExecution[] = [];
  refused = 0;
  private running = 0;
  private readonly waiting: Array<() => void> = [];
  private readonly random: ReseedableRandom;

  constructor(readonly behaviour: ServiceBehaviour) {
    this.random = new ReseedableRandom(behaviour.seed);
  }

  load() {
    const {leaving, slots} = this.behaviour;
    const waiting = this.waiting.length;
    return {running: this.running, waiting, memory: 0, slots, leaving};
  }

  async serve(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readBody(message);
    if (this.shouldRefuse()) {
      this.refused++;
      const headers = {'x-not-run': 'true', 'retry-after': '1'};
      return sendJson(response, 503, {error: 'busy'}, headers);
    }
    await this.acquireSlot();
    const execution = this.execute(message, body);
    await new Promise(resolve => setTimeout(resolve, this.behaviour.delayMs));
    this.running--;
    this.waiting.shift()?.();
    this.respond(response, execution);
  }

  private shouldRefuse(): boolean {
    const {maxWaiting, refusedShare} = this.behaviour;
    if (this.waiting.length >= maxWaiting) return true;
    return this.faultOccurs(refusedShare);
  }

  private faultOccurs(share: number): boolean {
    return share > 0 && this.random.next(this.behaviour.seed) < share;
  }

  private async acquireSlot(): Promise<void> {
    if (this.running >= this.behaviour.slots) {
      await new Promise<void>(resolve => this.waiting.push(resolve));
    }
    this.running++;
  }

  private execute(message: IncomingMessage, body: Buffer) {
    const key = message.headers['idempotency-key'];
    const execution: ServiceExecution = {
      id: String(message.headers['x-request-id'] ?? ''),
      method: message.method ?? '',
      path: message.url ?? '',
      ...(typeof key === 'string' ? {key} : {}),
      digest: createHash('sha256').update(body).digest('hex'),
      at: Date.now(),
    };
    this.journal.push(execution);
    return {...execution, number: this.journal.length};
  }

  private respond(
    response: ServerResponse,
    {id, path, digest, number}: ServiceExecution & {number: number},
  ): void {
    if (this.faultOccurs(this.behaviour.lostAnswerShare)) {
      response.destroy();
      return;
    }
    const headers = {'x-request-id': id};
    if (this.faultOccurs(this.behaviour.errorShare)) {
      return sendJson(response, 500, {error: 'failed'}, headers);
    }
    sendJson(response, 200, {path, digest, execution: number}, headers);
  }
}

/**
 * Starts a stand-in application service. It executes every call it reads, even
 * one repeated with the same key, so that its journal shows repetitions.
 * `GET /load`, `GET /journal` and `PUT /behaviour` are as of the engine.
 */
export async function startService(
  port = 0,
  initial: Partial<ServiceBehaviour> = {},
  crash?: () => void,
): Promise<ServiceStandIn> {
  const behaviour = {...DEFAULTS, ...initial};
  const service = new Service(behaviour);
  const report = new DelayedReport(
    () => service.load(),
    () => behaviour.reportLagMs,
  );
  const routes = findMyWay({
    defaultRoute: (message, response) => {
      void service.serve(message, response);
    },
  });
  routes.on('GET', '/load', (_message, response) => {
    sendJson(response, 200, report.read());
  });
  routes.on('GET', '/journal', (_message, response) => {
    sendJson(response, 200, service.journal);
  });
  routes.on('GET', '/usage', (_message, response) => {
    sendJson(response, 200, {refused: service.refused});
  });
  routes.on('PUT', '/behaviour', async (message, response) => {
    Object.assign(behaviour, await readJson(message));
    sendJson(response, 200, behaviour);
  });
  routes.on('POST', '/crash', () => crash?.());
  const standIn = await serveRoutes(routes, port);
  return {
    ...standIn,
    behaviour,
    journal: service.journal,
    close: () => {
      report.close();
      return standIn.close();
    },
  };
}
