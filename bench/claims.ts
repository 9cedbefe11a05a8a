import {build as buildHistogram, type Histogram} from 'hdr-histogram-js';
import {Agent} from 'undici';
import {v7 as uuidv7} from 'uuid';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {HttpLog} from '../src/platform/index.js';
import {call} from './caller.js';
import {Cluster} from './cluster.js';
import {demoKey, Deployment, exampleOf} from './deployment.js';

/** How duplicate execution is prevented during a phase. */
enum Mode {
  /** No idempotency key and no claim: the cost of routing alone. */
  Unkeyed = 'unkeyed',
  /** Claims are batched by the home instance of the key's partition. */
  Batched = 'batched',
  /** Each claim takes one append and one read, each result one append. */
  Naive = 'naive',
}

/** Measurements of one phase: one mode at one request rate. */
interface Phase {
  instances: number;
  mode: Mode;
  perSecond: number;
  requests: number;
  completed: number;
  /** Duration of a request; in naive mode, of the claim alone. */
  ms: {p50: number; p95: number; p99: number};
  appendsPerRequest: number;
  appendsPerSecond: number;
}

const MICROSECONDS_PER_MS = 1000;
/** Delay of every answer of the log, in ms. */
const LOG_DELAY_MS = 5;
const REQUESTS_PER_SECOND = [1, 10, 100, 500];

/** Counts the requests of one phase and records their durations. */
class PhaseRecorder {
  requests = 0;
  completed = 0;
  readonly histogram: Histogram = buildHistogram({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 60_000_000,
    numberOfSignificantValueDigits: 3,
  });

  recordRequest(ms: number, completed: boolean): void {
    this.requests++;
    if (!completed) return;
    this.completed++;
    this.histogram.recordValue(
      Math.max(1, Math.round(ms * MICROSECONDS_PER_MS)),
    );
  }

  percentile(value: number): number {
    return this.histogram.getValueAtPercentile(value) / MICROSECONDS_PER_MS;
  }
}

const sleep = (ms: number) => new Promise(end => setTimeout(end, ms));

async function readAppendCount(cluster: Cluster): Promise<number> {
  const answer = await fetch(`${cluster.log.url}/usage`);
  return ((await answer.json()) as {appends: number}).appends;
}

/** Sends request `n` through one of the routers and records its duration. */
async function sendOrder(
  cluster: Cluster,
  mode: Mode,
  n: number,
  agent: Agent,
  recorder: PhaseRecorder,
): Promise<void> {
  const router = cluster.routers[n % cluster.routers.length];
  const key: Record<string, string> =
    mode === Mode.Batched ? {'idempotency-key': uuidv7()} : {};
  const reply = await call(
    {
      url: router?.url ?? '',
      path: '/services/stock/orders',
      key: demoKey('winding-line'),
      headers: {'gypsumcourse-class': 'reel-order', ...key},
      body: {item: `item ${n}`},
    },
    {dispatcher: agent},
  );
  recorder.recordRequest(reply.totalMs, reply.outcome === 'completed');
}

/** Claims with one append and one read, and records the duration. */
async function claimNaively(
  log: HttpLog,
  recorder: PhaseRecorder,
): Promise<void> {
  const start = performance.now();
  const offset = await log.append('naive', {claim: uuidv7()});
  const read = await log.read('naive', {
    from: offset.unwrapOr(0),
    limit: 1,
  });
  const won = offset.isOk() && read.isOk();
  recorder.recordRequest(performance.now() - start, won);
  if (won) await log.append('naive', {result: 'completed'});
}

/** Sends requests at a fixed rate, without waiting for earlier ones. */
async function measurePhase(
  cluster: Cluster,
  mode: Mode,
  perSecond: number,
  seconds: number,
): Promise<Phase> {
  const agent = new Agent({connections: 512});
  const log = new HttpLog(cluster.log.url, agent);
  const recorder = new PhaseRecorder();
  const appendsBefore = await readAppendCount(cluster);
  const running: Array<Promise<void>> = [];
  const start = performance.now();
  for (let n = 0; n < perSecond * seconds; n++) {
    const dueAt = start + (n * 1000) / perSecond;
    const waitMs = dueAt - performance.now();
    if (waitMs > 0) await sleep(waitMs);
    running.push(
      mode === Mode.Naive
        ? claimNaively(log, recorder)
        : sendOrder(cluster, mode, n, agent, recorder),
    );
  }
  await Promise.all(running);
  // Results are appended shortly after the responses.
  await sleep(500);
  const appends = (await readAppendCount(cluster)) - appendsBefore;
  await agent.destroy();
  const percentileMs = (value: number) => recorder.percentile(value);
  return {
    instances: cluster.routers.length,
    mode,
    perSecond,
    requests: recorder.requests,
    completed: recorder.completed,
    ms: {p50: percentileMs(50), p95: percentileMs(95), p99: percentileMs(99)},
    appendsPerRequest: Number((appends / recorder.requests).toFixed(2)),
    appendsPerSecond: Math.round(appends / seconds),
  };
}

const args = await yargs(hideBin(process.argv))
  .scriptName('claims')
  .option('instances', {type: 'number', default: 3})
  .option('seconds', {type: 'number', default: 4})
  .option('naive', {type: 'boolean', default: true})
  .strict()
  .parseAsync();

const cluster = await Cluster.start({
  document: exampleOf(Deployment.Nilecoil),
  routers: args.instances,
  direct: true,
  logBehaviour: {delayMs: LOG_DELAY_MS},
});
const modes = args.naive ? Object.values(Mode) : [Mode.Unkeyed, Mode.Batched];
for (const mode of modes) {
  for (const perSecond of REQUESTS_PER_SECOND) {
    const phase = await measurePhase(cluster, mode, perSecond, args.seconds);
    process.stdout.write(`${JSON.stringify(phase)}\n`);
  }
}
await cluster.stop();
process.exit(0);
