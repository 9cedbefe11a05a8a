import {createSocket, type Socket as Datagrams} from 'node:dgram';
import {
  connect,
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';

import {
  ProxiedConnection,
  NO_FAULTS,
  type Faults,
  type SilentDirection,
} from './connection.js';

/**
 * A proxy in front of one target, TCP and UDP on the same port. It knows the
 * sender of traffic by its source address, and can treat each differently.
 */
export class FaultProxy {
  private readonly faultsBySource = new Map<string, Faults>();
  private readonly open = new Set<ProxiedConnection>();
  private readonly senderSockets = new Map<string, Datagrams>();
  private defaultFaults: Faults = {...NO_FAULTS};
  private countedBytes = 0;
  private closed = false;
  private targetHost = '127.0.0.1';
  private targetPort = 0;

  private constructor(
    readonly host: string,
    readonly port: number,
    private readonly server: Server,
    private readonly datagramSocket: Datagrams,
    private readonly random: () => number,
  ) {}

  /**
   * Opens a proxy on an ephemeral port of `host`. The target may be set later,
   * when it is known. `random` decides on dropped datagrams.
   */
  static async open(
    host = '127.0.0.1',
    random: () => number = Math.random,
  ): Promise<FaultProxy> {
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
      const proxy = new FaultProxy(host, port, server, datagrams, random);
      server.on('connection', client => proxy.accept(client));
      datagrams.on('message', (message, from) => {
        proxy.forwardDatagram(message, from.address, from.port);
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
    let sum = this.countedBytes;
    for (const {requests, answers} of this.open) {
      sum += requests.bytes + answers.bytes;
    }
    return sum;
  }

  /** Sets where traffic goes, given as host:port. */
  setTarget(target: string): void {
    const [host = '127.0.0.1', port = '0'] = target.split(':');
    this.targetHost = host;
    this.targetPort = Number(port);
  }

  /** Changes faults for one source address, or for all that have none. */
  inject(faults: Partial<Faults>, source?: string): void {
    if (source === undefined) Object.assign(this.defaultFaults, faults);
    else this.faultsBySource.set(source, {...this.faultsOf(source), ...faults});
  }

  /** Ends all faults, on new traffic; connections gone silent stay so. */
  clearFaults(): void {
    this.defaultFaults = {...NO_FAULTS};
    this.faultsBySource.clear();
  }

  /** Makes open connections silent for good, of one source or of all. */
  silence(which: SilentDirection, source?: string): number {
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
    for (const flow of this.senderSockets.values()) flow.close();
    this.datagramSocket.close();
    await new Promise<void>(resolve => {
      this.server.close(() => resolve());
      this.reset();
    });
  }

  private faultsOf(source: string): Faults {
    return this.faultsBySource.get(source) ?? this.defaultFaults;
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
    const connection = new ProxiedConnection(source, client, target, () =>
      this.faultsOf(source),
    );
    this.open.add(connection);
    client.once('close', () => {
      if (!this.open.delete(connection)) return;
      this.countedBytes += connection.requests.bytes + connection.answers.bytes;
    });
  }

  private forwardDatagram(message: Buffer, source: string, port: number): void {
    if (this.targetPort === 0 || this.shouldDrop(source)) return;
    const flow = this.senderSocketOf(source, port);
    const {delayMs, requestLink: requestPipe} = this.faultsOf(source);
    requestPipe?.transmit(message.length, performance.now());
    setTimeout(() => {
      if (this.closed || this.targetPort === 0) return;
      this.countedBytes += message.length;
      flow.send(message, this.targetPort, this.targetHost);
    }, delayMs);
  }

  private senderSocketOf(source: string, port: number): Datagrams {
    const name = `${source}:${port}`;
    const known = this.senderSockets.get(name);
    if (known !== undefined) return known;
    const flow = createSocket('udp4');
    flow.on('error', () => undefined);
    flow.on('message', answer => {
      if (this.shouldDrop(source)) return;
      this.countedBytes += answer.length;
      this.faultsOf(source).answerLink?.transmit(
        answer.length,
        performance.now(),
      );
      this.datagramSocket.send(answer, port, source);
    });
    this.senderSockets.set(name, flow);
    return flow;
  }

  private shouldDrop(source: string): boolean {
    const faults = this.faultsOf(source);
    return faults.blackholed || this.random() < faults.dropShare;
  }
}
