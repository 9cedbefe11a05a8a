import {LogEvent} from '../telemetry/logevent.js';
import {
  createServer,
  STATUS_CODES,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Duplex} from 'node:stream';
import type {RoutingTable} from '../route/index.js';
import {Exchange} from './exchange.js';
import type {ForwardDependencies} from './dependencies.js';
import {CallerConnections} from './callerconnections.js';
import {callerMessageClass} from './callermessage.js';
import {afterNextPoll} from './nextpoll.js';
import {Reply} from './reply.js';

/** Connections that the kernel may queue before they are accepted. */
const ACCEPT_BACKLOG = 2_048;
/** Largest request head, in bytes; the configured limit is below it. */
const MAX_HEAD_BYTES = 64 * 1024;
/** How often time-outs of callers' connections are checked, in ms. */
const TIMEOUT_CHECK_PERIOD_MS = 1_000;
/** Time-out of a request head before a configuration is known, in ms. */
const DEFAULT_HEADER_TIMEOUT_MS = 5_000;
/** Time that idle connections stay open beyond the configured limit, in ms. */
const IDLE_MARGIN_MS = 1_000;

/** An address to listen on. */
export interface Address {
  host: string;
  port: number;
}

/** Starts listening; port 0 picks a free one. Resolves to the port. */
export function listen(server: Server, {host, port}: Address): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({host, port, backlog: ACCEPT_BACKLOG}, () => {
      resolve((server.address() as AddressInfo).port);
    });
  });
}

/** HTTP status for a request that could not be parsed; it was not run. */
function parseErrorStatus(code: string | undefined): number {
  if (code === 'HPE_HEADER_OVERFLOW') return 431;
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') return 408;
  return 400;
}

/** HTTP server for callers; runs an [[Exchange]] for each request. */
export class Listener {
  private readonly server: Server;
  /** Requests that are being served. */
  inflight = 0;
  /** Requests that are being served, by connection. */
  private readonly inflightBySocket = new WeakMap<Duplex, number>();
  private readonly connections: CallerConnections;
  /** Connections closed for requests sent ahead. */
  private overruns = 0;

  constructor(private readonly dependencies: ForwardDependencies) {
    this.connections = new CallerConnections(dependencies.maxRequestsAhead);
    this.server = createServer({
      IncomingMessage: callerMessageClass(socket =>
        this.connections.isFull(socket),
      ),
      maxHeaderSize: MAX_HEAD_BYTES,
      connectionsCheckingInterval: TIMEOUT_CHECK_PERIOD_MS,
      headersTimeout: DEFAULT_HEADER_TIMEOUT_MS,
      requestTimeout: 0,
      // The server would answer such requests by itself, however many there are.
      requireHostHeader: false,
      noDelay: true,
    });
    const serve = (message: IncomingMessage, response: ServerResponse) =>
      this.serve(message, response);
    this.server.on('request', serve);
    this.server.on('checkExpectation', serve);
    this.server.on('upgrade', (_message, socket) => this.closeOverrun(socket));
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      // The caller disconnected; the exchange logs the end of its request.
      if (!socket.writable) {
        socket.destroy();
        return;
      }
      const inflight = this.inflightBySocket.get(socket) ?? 0;
      // The caller would take the error for the response to a request in
      // flight, which may have run.
      const status = inflight === 0 ? parseErrorStatus(error.code) : undefined;
      dependencies.logger.info(
        {event: LogEvent.Unreadable, cause: error.code, status, inflight},
        'Closing a connection that sent no valid request.',
      );
      if (status === undefined) socket.destroy();
      else {
        socket.end(
          `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n` +
            'connection: close\r\ncontent-length: 0\r\n\r\n',
        );
      }
    });
    dependencies.routing.subscribe(table => this.applyLimits(table));
  }

  private serve(message: IncomingMessage, response: ServerResponse): void {
    const {dependencies, connections} = this;
    const {socket} = message;
    const turn = connections.add(message, response);
    this.changeInflight(socket, 1);
    // A caller that pipelines gets all its answers before the close.
    const reply = new Reply(
      response,
      () => dependencies.isDraining() && connections.isNewest(socket, response),
    );
    const exchange = new Exchange(dependencies, message, response, reply);
    turn
      .then(afterNextPoll)
      .then(() => exchange.run())
      .catch((cause: unknown) => {
        dependencies.logger.error(
          {event: LogEvent.Defect, cause: String(cause)},
          'Serving a request failed unexpectedly.',
        );
        response.destroy();
      })
      .finally(() => {
        this.changeInflight(socket, -1);
      });
  }

  /** Closes a connection on which too many requests were sent ahead. */
  private closeOverrun(socket: Duplex): void {
    this.overruns++;
    const {logger, maxRequestsAhead} = this.dependencies;
    logger.info(
      {
        event: LogEvent.Unreadable,
        cause: 'requests_ahead',
        limit: maxRequestsAhead,
        inflight: this.inflightBySocket.get(socket) ?? 0,
      },
      'Closing a connection on which too many requests were sent ahead.',
    );
    socket.destroy();
  }

  private changeInflight(socket: Duplex, change: 1 | -1): void {
    this.inflight += change;
    this.inflightBySocket.set(
      socket,
      (this.inflightBySocket.get(socket) ?? 0) + change,
    );
  }

  /** Gauges of /metrics, by name. */
  gauges(): Record<string, number> {
    const {inflight, dependencies} = this;
    return {
      inflight,
      body_bytes: dependencies.bodies.heldBytes,
      connections_overrun_total: this.overruns,
    };
  }

  listen(address: Address): Promise<number> {
    return listen(this.server, address);
  }

  /** Whether every request has ended and its response is sent. */
  get isIdle(): boolean {
    return this.inflight === 0 && this.connections.areAllSent;
  }

  /** Closes connections without a request in flight or a response to send. */
  closeIdle(): void {
    this.connections.closeIdle();
  }

  /** Stops accepting connections and closes idle ones. */
  close(): void {
    this.server.close();
  }

  private applyLimits({limits}: RoutingTable): void {
    this.server.headersTimeout = limits.headerMs;
    this.server.keepAliveTimeout = limits.idleMs + IDLE_MARGIN_MS;
  }
}
