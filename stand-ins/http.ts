import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import type findMyWay from 'find-my-way';

/** HTTP routes of a stand-in. */
export type Routes = findMyWay.Instance<findMyWay.HTTPVersion.V1>;

/**
 * A stand-in: a server that simulates a platform service or an upstream in
 * tests and benchmarks.
 */
export interface StandIn {
  url: string;
  port: number;
  close(): Promise<void>;
}

/**
 * Serves routes on `port`, or on an ephemeral port if it is 0. Rejects if the
 * port cannot be opened.
 */
export async function serveRoutes(
  routes: Routes,
  port = 0,
  host = '127.0.0.1',
): Promise<StandIn> {
  const server: Server = createServer({noDelay: true}, (message, response) => {
    routes.lookup(message, response);
  });
  server.keepAliveTimeout = 60_000;
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  const address = server.address() as AddressInfo;
  return {
    url: `http://${host}:${address.port}`,
    port: address.port,
    close: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

/** Reads the whole body of a request. */
export async function readBody(message: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of message as AsyncIterable<Buffer>) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

/** Sends a JSON response, unless the connection is already closed. */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
  headers: Record<string, string> = {},
): void {
  if (response.destroyed) return;
  const text = JSON.stringify(value);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...headers,
  });
  response.end(text);
}

/** Reads a JSON object; any other or malformed body reads as an empty one. */
export async function readJson(
  message: IncomingMessage,
): Promise<Record<string, unknown>> {
  try {
    const value: unknown = JSON.parse(
      (await readBody(message)).toString('utf8'),
    );
    return value !== null && typeof value === 'object'
      ? (value as Record<string, unknown>)
      : {};
  } catch {
    return {};
  }
}
