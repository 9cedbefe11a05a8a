import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import findMyWay from 'find-my-way';
import type {Logger} from 'pino';
import {addApiRoutes, type ApiDependencies} from './apiroutes.js';
import {addConsoleRoutes, type ConsoleDependencies} from './consoleroutes.js';
import {sendJson} from './http.js';

const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 30_000;

/** What an [[OperatorListener]] needs of the rest of the instance. */
export interface OperatorListenerDependencies
  extends ApiDependencies, ConsoleDependencies {
  logger: Logger;
}

/**
 * The operators' listener: metrics and JSON for programs, and the console for
 * browsers. It shares no port with callers or peers.
 */
export class OperatorListener {
  private readonly server: Server;

  constructor(parts: OperatorListenerDependencies) {
    const routes = findMyWay({
      defaultRoute: (_message, response) =>
        sendJson(response, 404, {error: {type: 'unknownPath'}}),
    });
    addApiRoutes(routes, parts);
    addConsoleRoutes(routes, parts);
    this.server = createServer(
      {
        headersTimeout: HEADERS_TIMEOUT_MS,
        requestTimeout: REQUEST_TIMEOUT_MS,
      },
      (message, response) => {
        Promise.resolve(routes.lookup(message, response)).catch(cause => {
          parts.logger.error({err: cause as unknown}, 'Request failed.');
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

  async close(): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }
}
