import {createSocket, type Socket as Datagrams} from 'node:dgram';
import {
  connect,
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';

import {
  Acceptance,
  ProxiedConnection,
  NO_FAULTS,
  type Faults,
  type SilentDirection,
} from './connection.js';

/**
 * A proxy that injects network faults in front of one target, for TCP and UDP
 * on the same port. Faults can be set for each source address of traffic.
 */
export class FaultProxy {
  private readonly faultsBySource = new Map<string, Faults>();
  /** Delay beside the faults, by source address. */
  private readonly distances = new Map<string, number>();
  private readonly connections = new Set<ProxiedConnection>();
  /** Connections that were accepted and not forwarded. */
  private readonly unforwarded = new Set<Socket>();
  /** Sockets to the target, by the address and port of the sender. */
  private readonly senderSockets = new Map<string, Datagrams>();
  private defaultFaults: Faults = {...NO_FAULTS};
  /** Bytes of datagrams and of closed connections. */
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
   * Opens a proxy on an ephemeral port of `host`. Until [[setTarget]] is
   * called, connections are reset and datagrams dropped. `random` returns
   * numbers in [0, 1) that decide which datagrams are dropped.
   */
  static async open(
    host = '127.0.0.1',
    random: () => number = Math.random,
  ): Promise<FaultProxy> {
    for (;;) {
      const server = createServer({noDelay: true});
      await new Promise<void>(resolve => server.listen(0, host, resolve));
      const {port} = server.address() as AddressInfo;
      const datagramSocket = createSocket('udp4');
      const bound = await new Promise<boolean>(resolve => {
        datagramSocket.once('error', () => resolve(false));
        datagramSocket.bind(port, host, () => resolve(true));
      });
      if (!bound) {
        server.close();
        continue;
      }
      const proxy = new FaultProxy(host, port, server, datagramSocket, random);
      server.on('connection', client => proxy.accept(client));
      datagramSocket.on('message', (message, from) => {
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

  /** Bytes forwarded over TCP and UDP, in both directions. */
  get bytes(): number {
    let sum = this.countedBytes;
    for (const {requests, answers} of this.connections) {
      sum += requests.bytes + answers.bytes;
    }
    return sum;
  }

  /** Sets the address that traffic is forwarded to, as `host:port`. */
  setTarget(target: string): void {
    const [host = '127.0.0.1', port = '0'] = target.split(':');
    this.targetHost = host;
    this.targetPort = Number(port);
  }

  /**
   * Changes the given faults for one source address or, without `source`, for
   * all addresses that have no faults of their own.
   */
  inject(faults: Partial<Faults>, source?: string): void {
    if (source === undefined) Object.assign(this.defaultFaults, faults);
    else this.faultsBySource.set(source, {...this.faultsOf(source), ...faults});
  }

  /** Sets a delay of traffic of a source address that is no fault. */
  setDistance(delayMs: number, source: string): void {
    this.distances.set(source, delayMs);
  }

  /** Removes all faults; connections that are silent stay so. */
  clearFaults(): void {
    this.defaultFaults = {...NO_FAULTS};
    this.faultsBySource.clear();
  }

  /**
   * Stops forwarding for good on the open connections of one source address or
   * of all, without closing them. Returns the number of connections.
   */
  silence(which: SilentDirection, source?: string): number {
    let count = 0;
    for (const connection of this.connections) {
      if (source !== undefined && connection.source !== source) continue;
      connection.silence(which);
      count++;
    }
    return count;
  }

  /** Resets the open connections of one source address or of all. */
  reset(source?: string): void {
    for (const connection of this.connections) {
      if (source !== undefined && connection.source !== source) continue;
      connection.reset();
    }
  }

  /** Refuses new connections, as a port without listener; open ones go on. */
  stopListening(): void {
    this.server.close();
  }

  async close(): Promise<void> {
    this.closed = true;
    for (const socket of this.senderSockets.values()) socket.close();
    this.datagramSocket.close();
    await new Promise<void>(resolve => {
      this.server.close(() => resolve());
      this.reset();
      for (const client of this.unforwarded) client.destroy();
    });
  }

  private faultsOf(source: string): Faults {
    return this.faultsBySource.get(source) ?? this.defaultFaults;
  }

  /** The faults of a source address, and the delay by its distance. */
  private trafficOf(source: string): Faults {
    const faults = this.faultsOf(source);
    const distanceMs = this.distances.get(source) ?? 0;
    if (distanceMs === 0) return faults;
    return {...faults, delayMs: faults.delayMs + distanceMs};
  }

  private accept(client: Socket): void {
    const source = client.remoteAddress ?? '';
    client.on('error', () => undefined);
    if (this.faultsOf(source).refuse || this.targetPort === 0) {
      client.resetAndDestroy();
      return;
    }
    const {acceptance} = this.faultsOf(source);
    if (acceptance !== Acceptance.Forwarded) {
      this.keep(client, acceptance);
      return;
    }
    const target = connect({
      host: this.targetHost,
      port: this.targetPort,
      localAddress: this.host,
      noDelay: true,
    });
    const connection = new ProxiedConnection(source, client, target, () =>
      this.trafficOf(source),
    );
    this.connections.add(connection);
    client.once('close', () => {
      if (!this.connections.delete(connection)) return;
      this.countedBytes += connection.requests.bytes + connection.answers.bytes;
    });
  }

  private keep(client: Socket, acceptance: Acceptance): void {
    this.unforwarded.add(client);
    client.once('close', () => this.unforwarded.delete(client));
    // What it sends is read, so that its end is seen and isn't a reset.
    client.resume();
    if (acceptance === Acceptance.Ended) client.end();
  }

  private forwardDatagram(message: Buffer, source: string, port: number): void {
    if (this.targetPort === 0 || this.shouldDrop(source)) return;
    const senderSocket = this.senderSocketOf(source, port);
    const {delayMs, requestLink} = this.trafficOf(source);
    requestLink?.transmit(message.length, performance.now());
    setTimeout(() => {
      if (this.closed || this.targetPort === 0) return;
      this.countedBytes += message.length;
      senderSocket.send(message, this.targetPort, this.targetHost);
    }, delayMs);
  }

  private senderSocketOf(source: string, port: number): Datagrams {
    const sender = `${source}:${port}`;
    const existing = this.senderSockets.get(sender);
    if (existing !== undefined) return existing;
    const senderSocket = createSocket('udp4');
    senderSocket.on('error', () => undefined);
    senderSocket.on('message', answer => {
      if (this.shouldDrop(source)) return;
      this.countedBytes += answer.length;
      this.faultsOf(source).answerLink?.transmit(
        answer.length,
        performance.now(),
      );
      this.datagramSocket.send(answer, port, source);
    });
    this.senderSockets.set(sender, senderSocket);
    return senderSocket;
  }

  private shouldDrop(source: string): boolean {
    const faults = this.faultsOf(source);
    return faults.blackholed || this.random() < faults.dropShare;
  }
}
