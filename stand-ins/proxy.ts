import {createServer, connect, type AddressInfo, type Socket} from 'node:net';
import findMyWay from 'find-my-way';
import {jsonOf, sendJson, serveRoutes} from './http.js';

/** Faults a proxy injects into connections. */
export interface ProxyBehaviour {
  /** Delay of every chunk, each way, in ms. */
  delayMs: number;
  /** Capacity each way in bytes per second; 0 is without limit. */
  bytesPerSecond: number;
  /** While true, new connections are reset and open ones cut. */
  cut: boolean;
  /** While true, new connections go silent from their first byte on. */
  silentNew: boolean;
}

/** A running proxy in front of one target. */
export interface Proxy {
  url: string;
  port: number;
  behaviour: ProxyBehaviour;
  /** Makes open connections silent for good; new ones work. */
  silence(direction: 'both' | 'answers'): void;
  /** Resets every open connection. */
  reset(): void;
  close(): Promise<void>;
}

/** One direction of a connection, with delay, capacity and silence. */
class Direction {
  silent = false;
  private freeAt = 0;

  constructor(
    from: Socket,
    to: Socket,
    private readonly behaviour: ProxyBehaviour,
  ) {
    from.on('data', (chunk: Buffer) => {
      const wait = this.delayOf(chunk.length);
      if (wait === 0) this.forward(to, chunk);
      else setTimeout(() => this.forward(to, chunk), wait);
    });
    from.on('end', () => {
      setTimeout(() => {
        if (!this.silent) to.end();
      }, this.delayOf(0));
    });
  }

  private forward(to: Socket, chunk: Buffer): void {
    if (!this.silent && !to.destroyed) to.write(chunk);
  }

  private delayOf(bytes: number): number {
    const {bytesPerSecond, delayMs} = this.behaviour;
    if (bytesPerSecond === 0 && delayMs === 0 && this.freeAt === 0) return 0;
    const now = performance.now();
    const start = Math.max(now, this.freeAt);
    const busy = bytesPerSecond > 0 ? (bytes / bytesPerSecond) * 1000 : 0;
    this.freeAt = start + busy;
    return this.freeAt - now + delayMs;
  }
}

/** One proxied connection. */
class Connection {
  readonly requests: Direction;
  readonly answers: Direction;

  constructor(
    private readonly client: Socket,
    private readonly target: Socket,
    behaviour: ProxyBehaviour,
  ) {
    this.requests = new Direction(client, target, behaviour);
    this.answers = new Direction(target, client, behaviour);
    const end = () => {
      if (this.answers.silent) return;
      client.destroy();
      target.destroy();
    };
    client.on('error', end).on('close', end);
    target.on('error', end).on('close', end);
  }

  reset(): void {
    this.client.resetAndDestroy();
    this.target.resetAndDestroy();
  }
}

/** Starts a proxy to `target`, given as host:port, on `port` or an ephemeral one. */
export async function startProxy(target: string, port = 0): Promise<Proxy> {
  const [host = '127.0.0.1', targetPort = '0'] = target.split(':');
  const behaviour: ProxyBehaviour = {
    delayMs: 0,
    bytesPerSecond: 0,
    cut: false,
    silentNew: false,
  };
  const open = new Set<Connection>();
  const server = createServer({noDelay: true}, client => {
    if (behaviour.cut) {
      client.resetAndDestroy();
      return;
    }
    const upstream = connect({host, port: Number(targetPort), noDelay: true});
    const connection = new Connection(client, upstream, behaviour);
    connection.answers.silent = behaviour.silentNew;
    open.add(connection);
    client.once('close', () => open.delete(connection));
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', resolve);
  });
  const address = server.address() as AddressInfo;
  const reset = () => {
    for (const connection of open) connection.reset();
  };
  return {
    url: `http://127.0.0.1:${address.port}`,
    port: address.port,
    behaviour,
    reset,
    silence: direction => {
      for (const connection of open) {
        connection.answers.silent = true;
        if (direction === 'both') connection.requests.silent = true;
      }
    },
    close: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        reset();
      }),
  };
}

/** Serves control of a set of proxies over HTTP, for use across processes. */
export async function serveControl(proxies: Map<string, Proxy>, port = 0) {
  const routes = findMyWay();
  routes.on('PUT', '/proxies/:name', async (message, response, params) => {
    const proxy = proxies.get(params['name'] ?? '');
    if (proxy === undefined) return sendJson(response, 404, {});
    Object.assign(proxy.behaviour, await jsonOf(message));
    if (proxy.behaviour.cut) proxy.reset();
    sendJson(response, 200, proxy.behaviour);
  });
  routes.on('POST', '/proxies/:name/silence', (_message, response, params) => {
    proxies.get(params['name'] ?? '')?.silence('both');
    sendJson(response, 200, {});
  });
  routes.on('POST', '/proxies/:name/reset', (_message, response, params) => {
    proxies.get(params['name'] ?? '')?.reset();
    sendJson(response, 200, {});
  });
  return serveRoutes(routes, port);
}
