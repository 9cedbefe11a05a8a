import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import type findMyWay from 'find-my-way';

/** The router of a stand-in. */
export type Routes = findMyWay.Instance<findMyWay.HTTPVersion.V1>;

/** A stand-in that listens on a port of its own. */
export interface StandIn {
  url: string;
  port: number;
  close(): Promise<void>;
}

/** Serves routes on `port`, or on an ephemeral one when it is 0. */
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

/** Answers with a JSON value. */
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

/** Reads a JSON body; malformed JSON reads as an empty object. */
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
