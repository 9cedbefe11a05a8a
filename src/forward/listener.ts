import {LogEvent} from '../telemetry/logevent.js';
import {createServer, STATUS_CODES, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Duplex} from 'node:stream';
import type {RoutingTable} from '../route/index.js';
import {Exchange} from './exchange.js';
import type {ForwardDependencies} from './dependencies.js';

/** Connections that may wait to be accepted. */
const BACKLOG = 2_048;
/** Largest head of a request, in bytes; the configured limit is below it. */
const HEAD_LIMIT_BYTES = 64 * 1024;
/** How often time-outs of callers' connections are checked, in ms. */
const CHECK_PERIOD_MS = 1_000;
/** Time-out of a head before a configuration is known, in ms. */
const HEADER_TIMEOUT_MS = 5_000;
/** Idle time of a connection beyond what callers are told, in ms. */
const IDLE_MARGIN_MS = 1_000;

/** An address to listen on. */
export interface Address {
  host: string;
  port: number;
}

/** Opens a server's port; 0 picks a free one. Resolves to the port. */
export function listen(server: Server, {host, port}: Address): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({host, port, backlog: BACKLOG}, () => {
      resolve((server.address() as AddressInfo).port);
    });
  });
}

/** The status for bytes that could not be read; nothing was run. */
function statusOf(code: string | undefined): number {
  if (code === 'HPE_HEADER_OVERFLOW') return 431;
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') return 408;
  return 400;
}

/** Accepts callers' connections and runs one task for each request. */
export class Listener {
  private readonly server: Server;
  /** Requests that are being served. */
  inflight = 0;
  /** The same, by connection. */
  private readonly serving = new WeakMap<Duplex, number>();

  constructor(parts: ForwardDependencies) {
    this.server = createServer(
      {
        maxHeaderSize: HEAD_LIMIT_BYTES,
        connectionsCheckingInterval: CHECK_PERIOD_MS,
        headersTimeout: HEADER_TIMEOUT_MS,
        requestTimeout: 0,
        noDelay: true,
      },
      (message, response) => {
        const {socket} = message;
        this.count(socket, 1);
        const exchange = new Exchange(parts, message, response);
        exchange
          .run()
          .catch((cause: unknown) => {
            parts.logger.error(
              {event: LogEvent.Defect, cause: String(cause)},
              'Serving a request failed unexpectedly.',
            );
            response.destroy();
          })
          .finally(() => {
            this.count(socket, -1);
          });
      },
    );
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      // The end of a request whose caller is gone is logged by its exchange.
      if (!socket.writable) {
        socket.destroy();
        return;
      }
      const inflight = this.serving.get(socket) ?? 0;
      // An answer would be taken for that of a request which may have run.
      const status = inflight === 0 ? statusOf(error.code) : undefined;
      parts.logger.info(
        {event: LogEvent.Unreadable, cause: error.code, status, inflight},
        'Closing a connection whose bytes are no request.',
      );
      if (status === undefined) socket.destroy();
      else {
        socket.end(
          `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n` +
            'connection: close\r\ncontent-length: 0\r\n\r\n',
        );
      }
    });
    parts.routing.subscribe(table => this.bound(table));
  }

  private count(socket: Duplex, change: 1 | -1): void {
    this.inflight += change;
    this.serving.set(socket, (this.serving.get(socket) ?? 0) + change);
  }

  listen(address: Address): Promise<number> {
    return listen(this.server, address);
  }

  /** Closes connections that no request uses. */
  closeIdle(): void {
    this.server.closeIdleConnections();
  }

  /** Stops accepting connections. */
  close(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  private bound({limits}: RoutingTable): void {
    this.server.headersTimeout = limits.headerMs;
    this.server.keepAliveTimeout = limits.idleMs + IDLE_MARGIN_MS;
  }
}
