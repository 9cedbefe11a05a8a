import {Agent, request as sendRequest, type IncomingMessage} from 'node:http';
import {createParser} from 'eventsource-parser';
import type {Random} from '../random.js';
import type {BadRequests} from './badrequests.js';
import {
  HOST,
  isStream,
  PATIENCE_MS,
  RequestKind,
  textOf,
} from './deployment.js';
import type {GatewayProcess} from './gatewayprocess.js';
import type {Outcome, SentRequest, SoakHistory} from './history.js';
import type {Prompts} from './prompts.js';

/** Time after which a caller gives up for good, in ms. */
const GIVE_UP_MS = PATIENCE_MS + 1_000;
const KINDS = Object.values(RequestKind);

/** The part of a stream that a caller lacks. */
interface BrokenStream {
  /** Id of the request that brought the first event. */
  first: string;
  key?: string;
  events: number;
  lastEvent: number;
}

/** Gives callers a key to send, if any. */
export type KeyChoice = (random: Random) => string | undefined;

/** Sends requests to one gateway, one at a time, as its own connections allow. */
export class Caller {
  private readonly agent = new Agent({keepAlive: true, maxSockets: 1});
  private sent = 0;
  private isStopped = false;
  /** Stream that broke, to be resumed by the next request. */
  private broken?: BrokenStream;

  constructor(
    private readonly name: string,
    private readonly gateway: GatewayProcess,
    /** Gateways that it may turn to with a broken stream. */
    private readonly others: readonly GatewayProcess[],
    private readonly history: SoakHistory,
    private readonly random: Random,
    private readonly chooseKey: KeyChoice,
    private readonly prompts: Prompts,
    private readonly badRequests: BadRequests,
  ) {}

  async run(): Promise<void> {
    while (!this.isStopped) {
      const gateway = this.chooseGateway();
      const request = this.next(gateway);
      this.history.requests.set(request.id, request);
      const outcome = await this.send(request, gateway);
      request.outcome = outcome;
      this.rememberBroken(request, outcome);
      const pauseMs = outcome.type === 'failed' ? 100 : 0;
      await new Promise(resolve =>
        setTimeout(resolve, pauseMs + this.random.between(5, 60)),
      );
    }
    this.agent.destroy();
  }

  stop(): void {
    this.isStopped = true;
  }

  private chooseGateway(): GatewayProcess {
    const isAlone = this.others.length === 0 || this.broken === undefined;
    if (isAlone || this.random.next() < 0.5) return this.gateway;
    return this.random.pick(this.others);
  }

  private chooseKind(): RequestKind {
    if (this.broken !== undefined) return RequestKind.Resumable;
    const cutsStreams = this.others.length > 0 && this.random.next() < 0.4;
    return cutsStreams ? RequestKind.Resumable : this.random.pick(KINDS);
  }

  private next(gateway: GatewayProcess): SentRequest {
    const {random, broken} = this;
    const kind = this.chooseKind();
    delete this.broken;
    const cutsStreams =
      this.others.length > 0 && kind === RequestKind.Resumable;
    const fresh = Math.floor(random.between(1, cutsStreams ? 30 : 15));
    const cuts = cutsStreams && random.next() < 0.5;
    const events = isStream(kind) ? (broken?.events ?? fresh) : 0;
    const id = `${this.name}-${++this.sent}`;
    const key = broken === undefined ? this.chooseKey(random) : broken.key;
    const body =
      kind === RequestKind.NonIdempotent
        ? textOf(id, Math.floor(random.next() ** 3 * 20_000) + 1)
        : '';
    const prompt = isStream(kind) ? this.prompts.next() : undefined;
    return {
      id,
      kind,
      gateway: gateway.name,
      incarnation: gateway.incarnation,
      path: `/${kind}/${events}`,
      body,
      events,
      lastEvent: broken?.lastEvent ?? 0,
      sentAt: this.history.now(),
      ...(key === undefined ? {} : {key}),
      ...(broken === undefined ? {} : {resumes: broken.first}),
      ...(cuts ? {cutAfterMs: random.between(50, 600)} : {}),
      ...(prompt === undefined ? {} : {prompt}),
      ...(isStream(kind) ? {} : this.badRequests.next()),
    };
  }

  private rememberBroken(request: SentRequest, outcome: Outcome): void {
    if (request.kind !== RequestKind.Resumable) return;
    if (outcome.type !== 'answered' || outcome.complete) return;
    const lastEvent = outcome.events.at(-1)?.id;
    if (lastEvent === undefined || lastEvent >= request.events) return;
    const first = request.resumes ?? request.id;
    const {key, events} = request;
    this.broken = {
      first,
      events,
      lastEvent,
      ...(key === undefined ? {} : {key}),
    };
  }

  private send(
    request: SentRequest,
    gateway: GatewayProcess,
  ): Promise<Outcome> {
    const {random, history} = this;
    const {id, key, body, lastEvent, resumes} = request;
    const isNew = random.next() < 0.15 || gateway !== this.gateway;
    const leavesAfterMs =
      random.next() < 0.06 ? random.between(1, 300) : GIVE_UP_MS;
    return new Promise(resolve => {
      const end = (outcome: Outcome) => {
        clearTimeout(patience);
        resolve(outcome);
      };
      const outgoing = sendRequest({
        host: gateway.ingress.host,
        port: gateway.ingress.port,
        agent: isNew ? false : this.agent,
        method: body === '' ? 'GET' : 'POST',
        path: request.path,
        headers: {
          host: HOST,
          'x-request-id': id,
          'x-deadline-ms': PATIENCE_MS,
          'x-tenant': 'forged',
          ...request.prompt?.headers,
          ...(key === undefined ? {} : {authorization: `Bearer ${key}`}),
          ...(lastEvent === 0 ? {} : {'last-event-id': lastEvent}),
          ...(resumes === undefined ? {} : {resumes}),
          ...(body === '' ? {} : {'content-length': body.length}),
        },
      });
      const patience = setTimeout(() => {
        end({type: 'left', endedAt: history.now()});
        outgoing.destroy();
      }, leavesAfterMs);
      outgoing.on('error', ({message: reason}) =>
        end({type: 'failed', endedAt: history.now(), reason}),
      );
      outgoing.on('response', message => {
        this.receive(message, end);
        if (request.cutAfterMs === undefined) return;
        setTimeout(() => message.destroy(), request.cutAfterMs);
      });
      outgoing.end(body);
    });
  }

  private receive(
    message: IncomingMessage,
    end: (outcome: Outcome) => void,
  ): void {
    const {headers, statusCode: status = 0} = message;
    const seal = headers['x-response-seal'];
    const echoedId = headers['x-request-id'];
    const outcome: Outcome = {
      type: 'answered',
      endedAt: 0,
      status,
      body: '',
      events: [],
      complete: false,
      ...(typeof seal === 'string' ? {seal} : {}),
      ...(typeof echoedId === 'string' ? {echoedId} : {}),
    };
    const parser = createParser({
      onEvent: ({id, data}) => outcome.events.push({id: Number(id), data}),
    });
    message.setEncoding('utf8');
    message.on('data', (chunk: string) => {
      outcome.body += chunk;
      parser.feed(chunk);
    });
    message.on('error', () => undefined);
    message.once('close', () => {
      outcome.endedAt = this.history.now();
      outcome.complete = message.complete;
      end(outcome);
    });
  }
}
