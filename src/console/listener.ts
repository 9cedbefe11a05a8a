import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import findMyWay from 'find-my-way';
import type {Logger} from 'pino';
import {addApiRoutes, type ApiDependencies} from './apiroutes.js';
import {addConsoleRoutes, type ConsoleDependencies} from './consoleroutes.js';
import {sendJson} from './http.js';

const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 30_000;

/** Dependencies of [[OperatorListener]]. */
export interface OperatorListenerDependencies
  extends ApiDependencies, ConsoleDependencies {
  logger: Logger;
}

/**
 * HTTP server for operators: metrics and JSON for programs, and the console
 * for browsers. Its port is separate from those for callers and peers.
 */
export class OperatorListener {
  private readonly server: Server;

  constructor(dependencies: OperatorListenerDependencies) {
    const routes = findMyWay({
      defaultRoute: (_message, response) =>
        sendJson(response, 404, {error: {type: 'unknownPath'}}),
    });
    addApiRoutes(routes, dependencies);
    addConsoleRoutes(routes, dependencies);
    this.server = createServer(
      {
        headersTimeout: HEADERS_TIMEOUT_MS,
        requestTimeout: REQUEST_TIMEOUT_MS,
      },
      (message, response) => {
        Promise.resolve(routes.lookup(message, response)).catch(cause => {
          dependencies.logger.error(
            {err: cause as unknown},
            'Operator request failed.',
          );
          if (response.headersSent) response.destroy();
          else sendJson(response, 500, {error: {type: 'internal'}});
        });
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

  /** Stops listening and closes all open connections. */
  async close(): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }
}
