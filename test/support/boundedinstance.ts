import {mkdtempSync, readdirSync, readFileSync, rmSync} from 'node:fs';
import {createServer, type Server} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {UPSTREAMS_TOPIC} from '../../bench/soak/deployment.js';
import {GatewayProcess} from '../../bench/soak/gatewayprocess.js';
import {SoakHistory} from '../../bench/soak/history.js';
import {listen} from '../../src/forward/index.js';
import {
  startKeyedStore,
  type KeyedStoreStandIn,
} from '../../stand-ins/index.js';
import {LOOPBACK} from '../../stand-ins/loopback.js';
import {call, wireConfiguration, wireEntry} from './gateway.js';
import {sleep} from './silentupstream.js';

/** What a machine has. */
interface Machine {
  memoryMb: number;
  /** Number of descriptors. */
  maxFds: number;
}

const SMALL_MACHINE: Machine = {memoryMb: 192, maxFds: 400};
/** Share of the memory that the deploy file gives to the heap. */
const HEAP_SHARE = 200 / 350;
/** Longest body that the configuration allows, in bytes. */
export const BODY_LIMIT_BYTES = 4 * 1024 * 1024;
/** Longest time that a route waits, in ms. */
const ROUTE_TIMEOUT_MS = 30_000;
const SAMPLE_MS = 50;
const RETRY_MS = 250;

/** An upstream that a test opened. */
export interface UpstreamAt {
  service: string;
  id: string;
  port: number;
}

/** What a process took at its peak, against what its machine has. */
export interface Usage {
  /** Whether it still runs. */
  lives: boolean;
  staysInMemory: boolean;
  staysInDescriptors: boolean;
}

/** An instance as a process of its own, on a machine with little memory. */
export class BoundedInstance {
  private peakDescriptors = 0;
  private readonly sampler = setInterval(() => this.sample(), SAMPLE_MS);

  private constructor(
    private readonly store: KeyedStoreStandIn,
    private readonly upstream: Server,
    private readonly gateway: GatewayProcess,
    private readonly folder: string,
    private readonly machine: Machine,
  ) {}

  /** `others`: upstreams beside the one that serves ordinary requests. */
  static async open(
    machine = SMALL_MACHINE,
    others: readonly UpstreamAt[] = [],
  ): Promise<BoundedInstance> {
    const folder = mkdtempSync(join(tmpdir(), 'gypsumcourse-'));
    const store = await startKeyedStore(0, {}, LOOPBACK);
    // It keeps nothing of what it receives.
    const upstream = createServer((message, response) => {
      message.resume().once('end', () => {
        const id = String(message.headers['x-request-id']);
        const headers = {'x-request-id': id, 'x-response-seal': `seal-${id}`};
        response.writeHead(200, headers).end('ok');
      });
    });
    const port = await listen(upstream, {host: LOOPBACK, port: 0});
    const configuration = wireConfiguration(1, ROUTE_TIMEOUT_MS);
    const limits = {...configuration.limits, maxBodyBytes: BODY_LIMIT_BYTES};
    const records = [
      ['keyed.op', 'config', {...configuration, limits}],
      [UPSTREAMS_TOPIC, 'plain-0', wireEntry('plain', port)],
      ...others.map(
        ({service, id, port}) =>
          [UPSTREAMS_TOPIC, id, wireEntry(service, port)] as const,
      ),
    ] as const;
    for (const [topic, key, value] of records) {
      store.log.append(topic, key, Buffer.from(JSON.stringify(value)));
    }
    const history = new SoakHistory();
    const gateway = await GatewayProcess.open(0, store.port, folder, history);
    gateway.limits = {...machine};
    const heapMb = Math.floor(machine.memoryMb * HEAP_SHARE);
    gateway.nodeArguments = [`--max-old-space-size=${heapMb}`];
    gateway.restarts = false;
    gateway.start();
    await gateway.untilReady();
    return new BoundedInstance(store, upstream, gateway, folder, machine);
  }

  /** Where callers connect. */
  get host(): string {
    return this.gateway.host;
  }

  /** Port that callers reach it by. */
  get port(): number {
    return this.gateway.ingress.port;
  }

  get usage(): Usage {
    const lives = this.gateway.isRunning;
    return {
      lives,
      staysInMemory: lives && this.peakMb() < this.machine.memoryMb,
      staysInDescriptors: this.peakDescriptors < this.machine.maxFds,
    };
  }

  /** Resident memory at its peak, in MB; 0 if the process has ended. */
  peakMb(): number {
    const status = this.read('status');
    return Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1] ?? 0) / 1024;
  }

  /** Sends an ordinary request, again after a refusal, until it is answered. */
  async serveOne(id: string): Promise<string | undefined> {
    for (let attempt = 0; this.gateway.isRunning; attempt++) {
      const response = await call(this.port, '/order/a', `${id}-${attempt}`, {
        method: 'POST',
      });
      if (response?.status === 200) return response.body;
      await sleep(RETRY_MS);
    }
    return undefined;
  }

  async close(): Promise<void> {
    clearInterval(this.sampler);
    await this.gateway.kill();
    this.upstream.close();
    this.upstream.closeAllConnections();
    await Promise.all([
      this.gateway.ingress.close(),
      this.gateway.storeLink.close(),
      this.store.close(),
    ]);
    rmSync(this.folder, {recursive: true});
  }

  private sample(): void {
    const {processId} = this.gateway;
    if (processId === undefined) return;
    try {
      const {length} = readdirSync(`/proc/${processId}/fd`);
      this.peakDescriptors = Math.max(this.peakDescriptors, length);
    } catch {
      // The process has just ended.
    }
  }

  private read(file: string): string {
    const {processId} = this.gateway;
    if (processId === undefined) return '';
    try {
      return readFileSync(`/proc/${processId}/${file}`, 'utf8');
    } catch {
      return '';
    }
  }
}
