import {spawn, type ChildProcess} from 'node:child_process';
import {mkdtempSync, rmSync} from 'node:fs';
import {Agent, request} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {startKeyedStore} from '../../stand-ins/index.js';
import {LOOPBACK} from '../../stand-ins/loopback.js';
import {UPSTREAMS_TOPIC} from '../soak/deployment.js';
import {GatewayProcess} from '../soak/gatewayprocess.js';
import {SoakHistory} from '../soak/history.js';

const UPSTREAM_PROGRAM = fileURLToPath(new URL('upstream.js', import.meta.url));
const HOST = 'silence.example';
const WORK_MS = 40;
const TARGET_MS = 243;
/** What callers wait, in ms. */
const CALLER_MS = 1_200;
/** Time from the first arrival after which a repeat is late, in ms. */
const LATE_MS = 500;
/** Most by which a repeat may end after the first and its caller, in ms. */
const SLACK_MS = 500;
/** Time from the start of one silence to the next, in ms. */
const SILENCE_PERIOD_MS = 5_000;
const WARM_UP_MS = 2_000;

/** What is run. */
export interface SilenceSpec {
  /** File of the program of the instances; by default that of this checkout. */
  program?: string;
  instances: number;
  upstreams: number;
  /** Requests a second, over all instances; half may be repeated. */
  rate: number;
  silences: number;
  silenceMs: number;
  /** Where the logs of the instances stay; removed at the end if absent. */
  logs?: string;
}

/** What an experiment showed. */
export interface SilenceResult {
  requests: number;
  /** Share of them that were answered within the target. */
  onTime: number;
  answered: number;
  /** Arrivals beyond the first of each request. */
  repeats: number;
  /** Repeats that were read late. */
  late: number;
  /** Late ones that were handed more time than was left. */
  overlong: number;
}

/** A request that an upstream read. */
interface Arrival {
  id: string;
  /** In Unix ms. */
  readAt: number;
  /** Time that it was handed, in ms. */
  handedMs: number;
}

/**
 * Stops all upstreams of a service for a while, again and again, under load, so
 * that their kernels go on accepting what they don't read.
 */
export async function runSilences(spec: SilenceSpec): Promise<SilenceResult> {
  const folder = spec.logs ?? mkdtempSync(join(tmpdir(), 'gypsumcourse-'));
  const store = await startKeyedStore(0, {}, LOOPBACK);
  const arrivals: Arrival[] = [];
  const put = (topic: string, key: string, value: unknown) =>
    store.log.append(topic, key, Buffer.from(JSON.stringify(value)));
  put('keyed.op', 'config', configuration());
  const upstreams = await Promise.all(
    Array.from({length: spec.upstreams}, async (_, index) => {
      const {child, port} = await startUpstream(arrival =>
        arrivals.push(arrival),
      );
      put(UPSTREAMS_TOPIC, `plain-${index}`, entryOf(port));
      return child;
    }),
  );
  const history = new SoakHistory();
  const gateways: GatewayProcess[] = [];
  for (let index = 0; index < spec.instances; index++) {
    gateways.push(
      await GatewayProcess.open(
        index,
        store.port,
        folder,
        history,
        spec.program,
      ),
    );
  }
  try {
    for (const gateway of gateways) gateway.start();
    await Promise.all(gateways.map(gateway => gateway.untilReady()));
    const load = new Load(gateways, spec.rate);
    await sleep(WARM_UP_MS);
    for (let silence = 0; silence < spec.silences; silence++) {
      for (const child of upstreams) child.kill('SIGSTOP');
      await sleep(spec.silenceMs);
      for (const child of upstreams) child.kill('SIGCONT');
      await sleep(SILENCE_PERIOD_MS - spec.silenceMs);
    }
    await load.end();
    return {...load.result(), ...judge(arrivals, load.sentAt)};
  } finally {
    await Promise.all(gateways.map(gateway => gateway.kill()));
    for (const child of upstreams) child.kill('SIGKILL');
    await Promise.all(
      gateways.flatMap(({ingress, storeLink}) => [
        ingress.close(),
        storeLink.close(),
      ]),
    );
    await store.close();
    if (spec.logs === undefined) rmSync(folder, {recursive: true});
  }
}

/** Counts the repeats among arrivals, by when their requests were sent. */
export function judge(
  arrivals: readonly Arrival[],
  sentAt: ReadonlyMap<string, number>,
): Pick<SilenceResult, 'repeats' | 'late' | 'overlong'> {
  const byId = new Map<string, Arrival[]>();
  for (const arrival of [...arrivals].sort((a, b) => a.readAt - b.readAt)) {
    const others = byId.get(arrival.id);
    if (others === undefined) byId.set(arrival.id, [arrival]);
    else others.push(arrival);
  }
  const counts = {repeats: 0, late: 0, overlong: 0};
  for (const [id, [first, ...repeats]] of byId) {
    if (first === undefined) continue;
    const callerEnd = (sentAt.get(id) ?? first.readAt) + CALLER_MS;
    const end = Math.max(first.readAt + first.handedMs, callerEnd);
    counts.repeats += repeats.length;
    for (const {readAt, handedMs} of repeats) {
      if (readAt <= first.readAt + LATE_MS) continue;
      counts.late++;
      if (readAt + handedMs > end + SLACK_MS) counts.overlong++;
    }
  }
  return counts;
}

/** Callers that send at a steady rate, whether they are answered or not. */
class Load {
  readonly sentAt = new Map<string, number>();
  private answered = 0;
  private onTime = 0;
  private open = 0;
  private readonly agent = new Agent({keepAlive: true});
  private readonly ticks: NodeJS.Timeout;

  constructor(
    private readonly gateways: readonly GatewayProcess[],
    rate: number,
  ) {
    this.ticks = setInterval(() => this.send(), 1_000 / rate);
  }

  /** Sends no more; resolves when all requests have ended. */
  async end(): Promise<void> {
    clearInterval(this.ticks);
    while (this.open > 0) await sleep(50);
    // What was sent to an upstream is read even if nobody waits for it.
    await sleep(LATE_MS);
    this.agent.destroy();
  }

  result(): Pick<SilenceResult, 'requests' | 'onTime' | 'answered'> {
    const requests = this.sentAt.size;
    const {answered} = this;
    return {requests, answered, onTime: this.onTime / requests};
  }

  private send(): void {
    const number = this.sentAt.size;
    const id = `r${number}`;
    const isRepeatable = number % 2 === 0;
    const startedAt = Date.now();
    this.sentAt.set(id, startedAt);
    this.open++;
    const message = request(
      {
        port: this.gateways[number % this.gateways.length]?.ingress.port,
        path: isRepeatable ? '/look/' : '/order/',
        method: isRepeatable ? 'GET' : 'POST',
        agent: this.agent,
        headers: {
          host: HOST,
          'x-request-id': id,
          'x-deadline-ms': String(CALLER_MS),
        },
      },
      response => {
        response.resume();
        response.on('end', () => {
          if (response.statusCode !== 200) return;
          this.answered++;
          if (Date.now() - startedAt <= TARGET_MS) this.onTime++;
        });
      },
    );
    const timeout = setTimeout(() => message.destroy(), CALLER_MS);
    message.on('error', () => undefined);
    message.on('close', () => {
      clearTimeout(timeout);
      this.open--;
    });
    message.end();
  }
}

function startUpstream(
  onArrival: (arrival: Arrival) => void,
): Promise<{child: ChildProcess; port: number}> {
  const child = spawn(process.execPath, [UPSTREAM_PROGRAM, String(WORK_MS)], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  process.once('exit', () => child.kill('SIGKILL'));
  return new Promise(resolve => {
    createInterface({input: child.stdout}).on('line', line => {
      const told = JSON.parse(line) as Arrival | {port: number};
      if ('port' in told) resolve({child, port: told.port});
      else onArrival(told);
    });
  });
}

function configuration() {
  const route = (name: string, kind: string, maxAttempts: number) => ({
    name,
    host: HOST,
    pathPrefix: `/${name}/`,
    kind,
    timeoutMs: 2_000,
    targetLatencyMs: TARGET_MS,
    priority: 0,
    service: 'plain',
    maxAttempts,
    public: true,
  });
  return {
    version: 1,
    routes: [
      route('look', 'idempotent', 2),
      route('order', 'non_idempotent', 1),
    ],
    services: [{name: 'plain', healthPath: '/healthz', maxConnections: 500}],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}

function entryOf(port: number) {
  return {
    service: 'plain',
    address: `127.0.0.1:${port}`,
    zone: 'zone-a',
    version: 'v1',
    slots: 64,
    state: 'ready',
    coldRemainingMs: 0,
    seq: 1,
    born: Date.now(),
  };
}

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));
