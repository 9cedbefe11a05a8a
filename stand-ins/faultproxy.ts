import {createSocket, type Socket as Datagrams} from 'node:dgram';
import {
  connect,
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';

import {
  Connection,
  NO_FAULTS,
  type Faults,
  type Silence,
} from './connection.js';

/**
 * A proxy in front of one target, TCP and UDP on the same port. It knows the
 * sender of traffic by its source address, and can treat each differently.
 */
export class Proxy {
  private readonly bySource = new Map<string, Faults>();
  private readonly open = new Set<Connection>();
  private readonly flows = new Map<string, Datagrams>();
  private common: Faults = {...NO_FAULTS};
  private passed = 0;
  private closed = false;
  private targetHost = '127.0.0.1';
  private targetPort = 0;

  private constructor(
    readonly host: string,
    readonly port: number,
    private readonly server: Server,
    private readonly datagrams: Datagrams,
    private readonly random: () => number,
  ) {}

  /**
   * Opens a proxy on an ephemeral port of `host`. The target may be set later,
   * when it is known. `random` decides on dropped datagrams.
   */
  static async open(
    host = '127.0.0.1',
    random: () => number = Math.random,
  ): Promise<Proxy> {
    for (;;) {
      const server = createServer({noDelay: true});
      await new Promise<void>(resolve => server.listen(0, host, resolve));
      const {port} = server.address() as AddressInfo;
      const datagrams = createSocket('udp4');
      const bound = await new Promise<boolean>(resolve => {
        datagrams.once('error', () => resolve(false));
        datagrams.bind(port, host, () => resolve(true));
      });
      if (!bound) {
        server.close();
        continue;
      }
      const proxy = new Proxy(host, port, server, datagrams, random);
      server.on('connection', client => proxy.accept(client));
      datagrams.on('message', (message, from) => {
        proxy.relay(message, from.address, from.port);
      });
      return proxy;
    }
  }

  get url(): string {
    return `http://${this.host}:${this.port}`;
  }

  get address(): string {
    return `${this.host}:${this.port}`;
  }

  /** Bytes passed on over TCP and UDP, both ways. */
  get bytes(): number {
    let sum = this.passed;
    for (const {requests, answers} of this.open) {
      sum += requests.bytes + answers.bytes;
    }
    return sum;
  }

  /** Sets where traffic goes, given as host:port. */
  aim(target: string): void {
    const [host = '127.0.0.1', port = '0'] = target.split(':');
    this.targetHost = host;
    this.targetPort = Number(port);
  }

  /** Changes faults for one source address, or for all that have none. */
  set(faults: Partial<Faults>, source?: string): void {
    if (source === undefined) Object.assign(this.common, faults);
    else this.bySource.set(source, {...this.faultsOf(source), ...faults});
  }

  /** Ends all faults, on new traffic; connections gone silent stay so. */
  heal(): void {
    this.common = {...NO_FAULTS};
    this.bySource.clear();
  }

  /** Makes open connections silent for good, of one source or of all. */
  silence(which: Silence, source?: string): number {
    let count = 0;
    for (const connection of this.open) {
      if (source !== undefined && connection.source !== source) continue;
      connection.silence(which);
      count++;
    }
    return count;
  }

  /** Resets every open connection, of one source or of all. */
  reset(source?: string): void {
    for (const connection of this.open) {
      if (source !== undefined && connection.source !== source) continue;
      connection.reset();
    }
  }

  async close(): Promise<void> {
    this.closed = true;
    for (const flow of this.flows.values()) flow.close();
    this.datagrams.close();
    await new Promise<void>(resolve => {
      this.server.close(() => resolve());
      this.reset();
    });
  }

  private faultsOf(source: string): Faults {
    return this.bySource.get(source) ?? this.common;
  }

  private accept(client: Socket): void {
    const source = client.remoteAddress ?? '';
    client.on('error', () => undefined);
    if (this.faultsOf(source).refuse || this.targetPort === 0) {
      client.resetAndDestroy();
      return;
    }
    const target = connect({
      host: this.targetHost,
      port: this.targetPort,
      localAddress: this.host,
      noDelay: true,
    });
    const connection = new Connection(source, client, target, () =>
      this.faultsOf(source),
    );
    this.open.add(connection);
    client.once('close', () => {
      if (!this.open.delete(connection)) return;
      this.passed += connection.requests.bytes + connection.answers.bytes;
    });
  }

  private relay(message: Buffer, source: string, port: number): void {
    if (this.targetPort === 0 || this.dropped(source)) return;
    const flow = this.flowOf(source, port);
    const {delayMs, requestPipe} = this.faultsOf(source);
    requestPipe?.pass(message.length, performance.now());
    setTimeout(() => {
      if (this.closed || this.targetPort === 0) return;
      this.passed += message.length;
      flow.send(message, this.targetPort, this.targetHost);
    }, delayMs);
  }

  private flowOf(source: string, port: number): Datagrams {
    const name = `${source}:${port}`;
    const known = this.flows.get(name);
    if (known !== undefined) return known;
    const flow = createSocket('udp4');
    flow.on('error', () => undefined);
    flow.on('message', answer => {
      if (this.dropped(source)) return;
      this.passed += answer.length;
      this.faultsOf(source).answerPipe?.pass(answer.length, performance.now());
      this.datagrams.send(answer, port, source);
    });
    this.flows.set(name, flow);
    return flow;
  }

  private dropped(source: string): boolean {
    const faults = this.faultsOf(source);
    return faults.cut || this.random() < faults.dropShare;
  }
}
