import {createSocket, type Socket as Datagrams} from 'node:dgram';
import {
  connect,
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';

/** Faults a proxy injects into the traffic of one source. */
export interface Faults {
  /** Delay of every chunk, each way, in ms. */
  delayMs: number;
  /** Capacity each way in bytes per second; 0 is without limit. */
  bytesPerSecond: number;
  /** While true, traffic is lost: connections neither open nor answer. */
  cut: boolean;
  /** While true, connections are reset when they are opened. */
  refuse: boolean;
  /** Share of datagrams that are dropped. */
  dropShare: number;
}

/** Faults that change nothing. */
export const NO_FAULTS: Faults = {
  delayMs: 0,
  bytesPerSecond: 0,
  cut: false,
  refuse: false,
  dropShare: 0,
};

/** Which way a connection goes silent. */
export type Silence = 'requests' | 'answers' | 'both';

/** One direction of a connection, with delay, capacity and silence. */
class Direction {
  silent = false;
  /** Bytes passed on so far. */
  bytes = 0;
  private freeAt = 0;
  /** Deliveries whose time has not come, in the order of the stream. */
  private readonly delayed: Array<() => void> = [];

  constructor(
    from: Socket,
    private readonly to: Socket,
    private readonly faults: () => Faults,
  ) {
    from.on('data', (chunk: Buffer) => {
      this.later(chunk.length, () => this.forward(chunk));
    });
    from.on('end', () => this.later(0, () => this.end()));
  }

  private forward(chunk: Buffer): void {
    if (this.lost || this.to.destroyed) return;
    this.bytes += chunk.length;
    this.to.write(chunk);
  }

  private end(): void {
    if (!this.lost) this.to.end();
  }

  /** A connection that lost bytes never comes back. */
  private get lost(): boolean {
    this.silent ||= this.faults().cut;
    return this.silent;
  }

  private later(bytes: number, deliver: () => void): void {
    const {bytesPerSecond, delayMs} = this.faults();
    const now = performance.now();
    const unhindered =
      bytesPerSecond === 0 && delayMs === 0 && this.freeAt <= now;
    if (unhindered && this.delayed.length === 0) {
      deliver();
      return;
    }
    const busy = bytesPerSecond > 0 ? (bytes / bytesPerSecond) * 1000 : 0;
    this.freeAt = Math.max(now, this.freeAt) + busy;
    this.delayed.push(deliver);
    setTimeout(() => this.delayed.shift()?.(), this.freeAt - now + delayMs);
  }
}

/** One proxied connection. */
class Connection {
  readonly requests: Direction;
  readonly answers: Direction;

  constructor(
    readonly source: string,
    private readonly client: Socket,
    private readonly target: Socket,
    faults: () => Faults,
  ) {
    this.requests = new Direction(client, target, faults);
    this.answers = new Direction(target, client, faults);
    client
      .on('error', () => this.endQuietly())
      .on('close', () => {
        if (!this.requests.silent) target.destroy();
      });
    target
      .on('error', () => this.endQuietly())
      .on('close', () => {
        if (!this.answers.silent) client.destroy();
      });
  }

  silence(which: Silence): void {
    if (which !== 'answers') this.requests.silent = true;
    if (which !== 'requests') this.answers.silent = true;
  }

  reset(): void {
    this.client.resetAndDestroy();
    this.target.resetAndDestroy();
  }

  private endQuietly(): void {
    if (this.answers.silent || this.requests.silent) return;
    this.client.destroy();
    this.target.destroy();
  }
}

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
    setTimeout(() => {
      this.passed += message.length;
      flow.send(message, this.targetPort, this.targetHost);
    }, this.faultsOf(source).delayMs);
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
