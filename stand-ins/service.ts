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

/** Configuration of a stand-in service. */
export interface ServiceBehaviour {
  /** Duration of a call, in ms. */
  delayMs: number;
  /** Maximum number of concurrent calls; further ones wait. */
  slots: number;
  /** Limit of the wait queue; further calls are refused as not run. */
  maxWaiting: number;
  /** Share of calls refused with 503 as not run, 0 to 1. */
  refusedShare: number;
  /** Share of calls that are executed but answered with 500, 0 to 1. */
  errorShare: number;
  /** Share of calls that are executed but whose answer is lost, 0 to 1. */
  lostAnswerShare: number;
  /** Delay of the load that `GET /load` reports, in ms. */
  reportLagMs: number;
  /** Whether the service reports that it is about to stop. */
  leaving: boolean;
  /** Seed of all random decisions. */
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

/** The execution of a call in the service's journal. */
export interface ServiceExecution {
  id: string;
  method: string;
  path: string;
  /** Idempotency key of the request. */
  key?: string;
  /** SHA-256 of the body, in hexadecimal. */
  digest: string;
  /** Wall-clock ms at which it took effect. */
  at: number;
}

/** A running stand-in service. */
export interface ServiceStandIn extends StandIn {
  behaviour: ServiceBehaviour;
  journal: ServiceExecution[];
}

/** Executes calls, at most `slots` concurrently. */
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
 * Starts a stand-in for an application service. It executes every call that it
 * does not refuse, even one with an idempotency key it has seen, so that its
 * journal shows duplicate executions. `GET /load`, `GET /journal` and
 * `PUT /behaviour` work as those of the stand-in engine.
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
