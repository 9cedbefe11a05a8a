import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import findMyWay from 'find-my-way';
import {err, ok, type Result} from 'neverthrow';
import type {Logger} from 'pino';
import {v7 as uuidv7} from 'uuid';
import type {
  AcceptedConfiguration,
  ConfigurationFollower,
} from '../config/index.js';
import {
  authenticate,
  CallerAnswer,
  failureOf,
  isKeyedRetry,
  Outcome,
  parseRequest,
  readBody,
  RESUME_TOKEN_HEADER,
  writeFailure,
  type Executor,
  type Failure,
  type Resumption,
  type ResumeTicket,
  type Target,
  type ParsedRequest,
} from '../request/index.js';
import type {Timer} from '../timer/index.js';

const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 60_000;
const KEEP_ALIVE_TIMEOUT_MS = 30_000;
const HEADER_LIMIT_BYTES = 32 * 1024;

/** What an [[Entrance]] needs of the rest of the instance. */
export interface CallerListenerParts {
  follower: ConfigurationFollower;
  executor: Executor;
  resumption: Resumption;
  timer: Timer;
  logger: Logger;
}

/**
 * The callers' listener: accepts requests over HTTP, runs one task for each,
 * and drains on shutdown so that no request in flight is cut off.
 */
export class CallerListener {
  private readonly server: Server;
  private draining = false;
  private inflight = 0;
  private idle?: () => void;

  constructor(private readonly parts: CallerListenerParts) {
    const routes = findMyWay({
      defaultRoute: (message, response) =>
        refuse(message, response, {
          type: 'unknownPath',
          path: message.url ?? '',
        }),
    });
    routes.on('GET', '/livez', (_message, response) => {
      response.end('ok\n');
    });
    routes.on('GET', '/readyz', (_message, response) => this.ready(response));
    routes.on('GET', '/v1/models', (message, response) =>
      this.models(message, response),
    );
    routes.on('POST', '/v1/chat/completions', (message, response) =>
      this.serve(message, response, {
        type: 'chat',
        path: '/v1/chat/completions',
      }),
    );
    routes.on('POST', '/v1/completions', (message, response) =>
      this.serve(message, response, {
        type: 'completion',
        path: '/v1/completions',
      }),
    );
    routes.on('GET', '/v1/resume', (message, response) =>
      this.resume(message, response),
    );
    routes.all('/services/:service/*', (message, response, params) => {
      const service = params['service'] ?? '';
      const path = (message.url ?? '').slice(`/services/${service}`.length);
      return this.serve(message, response, {type: 'service', service, path});
    });
    this.server = createServer(
      {
        headersTimeout: HEADERS_TIMEOUT_MS,
        requestTimeout: REQUEST_TIMEOUT_MS,
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
        maxHeaderSize: HEADER_LIMIT_BYTES,
        noDelay: true,
      },
      (message, response) => {
        routes.lookup(message, response);
      },
    );
  }

  /** Starts listening and returns the port. */
  async listen(host: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    return (this.server.address() as AddressInfo).port;
  }

  /**
   * Refuses new requests as not run and resolves once every request in flight
   * has ended.
   */
  async drain(): Promise<void> {
    this.draining = true;
    if (this.inflight > 0) {
      await new Promise<void>(resolve => {
        this.idle = resolve;
      });
    }
    await this.parts.executor.drain();
    this.server.close();
    this.server.closeIdleConnections();
  }

  private ready(response: ServerResponse): void {
    const configuration = this.parts.follower.current();
    const ready = !this.draining && configuration !== undefined;
    response.writeHead(ready ? 200 : 503, {'content-type': 'application/json'});
    const version = configuration?.version ?? 0;
    response.end(JSON.stringify({ready, draining: this.draining, version}));
  }

  private models(message: IncomingMessage, response: ServerResponse): void {
    const configuration = this.parts.follower.current();
    if (configuration === undefined) {
      refuse(message, response, {type: 'notReady'});
      return;
    }
    const data = configuration.document.pools.flatMap(pool =>
      pool.kind === 'runner'
        ? pool.models.map(model => ({
            id: model.name,
            object: 'model',
            owned_by: pool.name,
          }))
        : [],
    );
    message.resume();
    response.writeHead(200, {'content-type': 'application/json'});
    response.end(JSON.stringify({object: 'list', data}));
  }

  private async serve(
    message: IncomingMessage,
    response: ServerResponse,
    target: Target,
  ): Promise<void> {
    const configuration = this.parts.follower.current();
    if (this.draining || configuration === undefined) {
      refuse(message, response, {
        type: this.draining ? 'draining' : 'notReady',
      });
      return;
    }
    await this.counted(() =>
      this.run(message, response, target, configuration),
    );
  }

  /** Goes on with a stream that its caller lost. */
  private async resume(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const found = this.ticketOf(message);
    if (found.isErr()) {
      // The stream itself may well have run.
      writeFailure(response, uuidv7(), Outcome.Unknown, found.error);
      return;
    }
    const {ticket, token} = found.value;
    const answer = new CallerAnswer(response, ticket.request, () => token);
    const last = message.headers['last-event-id'];
    const lastId = typeof last === 'string' ? last : undefined;
    await this.counted(async () => {
      const gone = goneSignal(response);
      const {resumption} = this.parts;
      answer.conclude(await resumption.resume(ticket, lastId, answer, gone));
    });
  }

  private ticketOf(
    message: IncomingMessage,
  ): Result<{ticket: ResumeTicket; token: string}, Failure> {
    const configuration = this.parts.follower.current();
    if (this.draining) return err({type: 'draining'});
    if (configuration === undefined) return err({type: 'notReady'});
    const token = String(message.headers[RESUME_TOKEN_HEADER] ?? '');
    return authenticate(message, configuration.document).andThen(({name}) => {
      const ticket = this.parts.resumption.verifyToken(token, name);
      if (ticket === undefined) return err({type: 'invalidToken'} as const);
      return ok({ticket, token});
    });
  }

  /** Counts a request as in flight until `step` has ended. */
  private async counted(step: () => Promise<void>): Promise<void> {
    this.inflight++;
    try {
      await step();
    } finally {
      this.inflight--;
      if (this.inflight === 0) this.idle?.();
    }
  }

  private answerOf(
    response: ServerResponse,
    work: ParsedRequest,
  ): CallerAnswer {
    const {id: request, workspace} = work;
    return new CallerAnswer(response, request, source =>
      this.parts.resumption.issueToken({
        request,
        workspace: workspace.name,
        ...source,
      }),
    );
  }

  private async run(
    message: IncomingMessage,
    response: ServerResponse,
    target: Target,
    configuration: AcceptedConfiguration,
  ): Promise<void> {
    const {timer, executor, logger} = this.parts;
    const body = await readBody(message, timer);
    if (body.isErr()) {
      refuse(message, response, body.error);
      return;
    }
    const work = parseRequest(
      message,
      target,
      body.value,
      configuration,
      timer,
    );
    if (work.isErr()) {
      refuse(message, response, work.error);
      return;
    }
    const answer = this.answerOf(response, work.value);
    const conclusion = await executor.execute(
      work.value,
      answer,
      goneSignal(response),
    );
    answer.conclude(conclusion);
    logger.debug(
      {
        request: work.value.id,
        workspace: work.value.workspace.name,
        class: work.value.serviceClass.name,
        outcome: conclusion.outcome,
        failure: failureOf(conclusion)?.type,
        ms: Math.round(timer.now() - work.value.arrivedAt),
      },
      'Request ended.',
    );
  }
}

/** Returns a signal that aborts when the caller goes before its answer ended. */
function goneSignal(response: ServerResponse): AbortSignal {
  const gone = new AbortController();
  if (response.destroyed) gone.abort();
  response.once('close', () => {
    if (!response.writableFinished) gone.abort();
  });
  return gone.signal;
}

/**
 * Refuses a request that was not run. Of a retry under a key an earlier attempt
 * may have run, so nothing is said about it.
 */
function refuse(
  message: IncomingMessage,
  response: ServerResponse,
  failure: Failure,
): void {
  const outcome = isKeyedRetry(message) ? Outcome.Unknown : Outcome.NotRun;
  writeFailure(response, uuidv7(), outcome, failure);
}
