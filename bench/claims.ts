import {build as buildHistogram, type Histogram} from 'hdr-histogram-js';
import {Agent} from 'undici';
import {v7 as uuidv7} from 'uuid';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {HttpLog} from '../src/platform/index.js';
import {call} from './caller.js';
import {Cluster} from './cluster.js';
import {demoKey, Deployment, exampleOf} from './deployment.js';

/** How the requests of a phase are kept from running twice. */
enum Mode {
  /** Not at all: the cost of the path itself. */
  Unkeyed = 'unkeyed',
  /** Claims in batches, through the home instance of the key. */
  Batched = 'batched',
  /** One append and one read a claim, and one append a result. */
  Naive = 'naive',
}

/** What one phase measured. */
interface Phase {
  instances: number;
  mode: Mode;
  perSecond: number;
  requests: number;
  completed: number;
  /** Whole time of a request; of the claim alone when naive. */
  ms: {p50: number; p95: number; p99: number};
  appendsPerRequest: number;
  appendsPerSecond: number;
}

const MICROS = 1000;
const LOG_DELAY_MS = 5;
const RATES = [1, 10, 100, 500];

/** One phase under way. */
class Tally {
  requests = 0;
  completed = 0;
  readonly histogram: Histogram = buildHistogram({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 60_000_000,
    numberOfSignificantValueDigits: 3,
  });

  note(ms: number, completed: boolean): void {
    this.requests++;
    if (!completed) return;
    this.completed++;
    this.histogram.recordValue(Math.max(1, Math.round(ms * MICROS)));
  }

  percentile(value: number): number {
    return this.histogram.getValueAtPercentile(value) / MICROS;
  }
}

const sleep = (ms: number) => new Promise(end => setTimeout(end, ms));

async function appendsOf(cluster: Cluster): Promise<number> {
  const answer = await fetch(`${cluster.log.url}/usage`);
  return ((await answer.json()) as {appends: number}).appends;
}

/** Sends one request at a router and notes its whole time. */
async function send(
  cluster: Cluster,
  mode: Mode,
  n: number,
  agent: Agent,
  tally: Tally,
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
  tally.note(reply.totalMs, reply.outcome === 'completed');
}

/** Makes a claim of its own append, and notes its time. */
async function claimNaively(log: HttpLog, tally: Tally): Promise<void> {
  const start = performance.now();
  const offset = await log.append('naive', {claim: uuidv7()});
  const read = await log.read('naive', {
    from: offset.unwrapOr(0),
    limit: 1,
  });
  const won = offset.isOk() && read.isOk();
  tally.note(performance.now() - start, won);
  if (won) await log.append('naive', {result: 'completed'});
}

async function measure(
  cluster: Cluster,
  mode: Mode,
  perSecond: number,
  seconds: number,
): Promise<Phase> {
  const agent = new Agent({connections: 512});
  const log = new HttpLog(cluster.log.url, agent);
  const tally = new Tally();
  const before = await appendsOf(cluster);
  const running: Array<Promise<void>> = [];
  const start = performance.now();
  for (let n = 0; n < perSecond * seconds; n++) {
    const due = start + (n * 1000) / perSecond;
    const wait = due - performance.now();
    if (wait > 0) await sleep(wait);
    running.push(
      mode === Mode.Naive
        ? claimNaively(log, tally)
        : send(cluster, mode, n, agent, tally),
    );
  }
  await Promise.all(running);
  // Results are appended a little after their requests.
  await sleep(500);
  const appends = (await appendsOf(cluster)) - before;
  await agent.destroy();
  const at = (value: number) => tally.percentile(value);
  return {
    instances: cluster.routers.length,
    mode,
    perSecond,
    requests: tally.requests,
    completed: tally.completed,
    ms: {p50: at(50), p95: at(95), p99: at(99)},
    appendsPerRequest: Number((appends / tally.requests).toFixed(2)),
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
  for (const perSecond of RATES) {
    const phase = await measure(cluster, mode, perSecond, args.seconds);
    process.stdout.write(`${JSON.stringify(phase)}\n`);
  }
}
await cluster.stop();
process.exit(0);
