import {build as buildHistogram, type Histogram} from 'hdr-histogram-js';
import {Agent} from 'undici';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {call, type Call} from './caller.js';
import {Cluster} from './cluster.js';
import {demoKey, Deployment, exampleOf} from './deployment.js';
import {readProcessUsage} from './process-usage.js';

/** Where the requests of a phase go. */
enum Route {
  /** Straight to the engines, in turn. */
  Direct = 'direct',
  /** Through one router. */
  Routed = 'routed',
}

/** One closed-loop run over one route. */
interface Phase {
  route: Route;
  requests: number;
  lost: number;
  perSecond: number;
  /** Time to the first token in ms. */
  firstTokenMs: {p50: number; p95: number; p99: number};
  /** Processor time of the router a request, in ms. */
  routerCpuMs?: number;
  /** Resident memory of the router at the end, in MB. */
  routerMb?: number;
}

/** A load of closed-loop callers. */
interface Load {
  callers: number;
  stream: boolean;
  tokens: number;
  seconds: number;
}

const MICROS = 1000;
const ENGINE = {slots: 512, stepMs: 1};
const SLICE_SECONDS = 2;
const SOAK_CALLERS = 64;

function bodyOf(load: Load, n: number) {
  return {
    model: 'tube-7b',
    stream: load.stream,
    messages: [{role: 'user', content: `Question ${n}`}],
    metadata: {output_tokens: String(load.tokens)},
  };
}

/** Collects the answers of a route over all its slices. */
class Tally {
  readonly histogram: Histogram = buildHistogram({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 60_000_000,
    numberOfSignificantValueDigits: 3,
  });
  requests = 0;
  lost = 0;
  busyMs = 0;
  cpuMs = 0;

  constructor(readonly route: Route) {}

  phase(): Phase {
    const at = (percentile: number) =>
      this.histogram.getValueAtPercentile(percentile) / MICROS;
    return {
      route: this.route,
      requests: this.requests,
      lost: this.lost,
      perSecond: Math.round((this.requests / this.busyMs) * 1000),
      firstTokenMs: {p50: at(50), p95: at(95), p99: at(99)},
    };
  }
}

async function runSlice(
  tally: Tally,
  load: Load,
  urls: string[],
  agent: Agent,
): Promise<void> {
  const start = performance.now();
  const end = start + SLICE_SECONDS * 1000;
  const caller = async (index: number) => {
    for (let n = 0; performance.now() < end; n++) {
      const request: Call = {
        url: urls[(index + n) % urls.length] ?? '',
        path: '/v1/chat/completions',
        key: demoKey('glue-lab'),
        headers: {'x-request-id': `direct-${index}-${n}`},
        body: bodyOf(load, n),
      };
      const reply = await call(request, {dispatcher: agent});
      tally.requests++;
      if (!reply.ended) tally.lost++;
      tally.histogram.recordValue((reply.firstTokenMs ?? 0) * MICROS);
    }
  };
  const callers = Array.from({length: load.callers}, (_, i) => caller(i));
  await Promise.all(callers);
  tally.busyMs += performance.now() - start;
}

/** Runs both routes in turns of short slices, so that noise meets both. */
async function compare(cluster: Cluster, load: Load): Promise<Phase[]> {
  const router = cluster.routers[0];
  const pid = router?.process?.pid ?? 0;
  const engines = cluster.upstreams
    .filter(({kind}) => kind === 'runner')
    .map(({url}) => url);
  const agent = new Agent({connections: load.callers});
  const direct = new Tally(Route.Direct);
  const routed = new Tally(Route.Routed);
  const warm = new Tally(Route.Routed);
  await runSlice(warm, load, [router?.url ?? ''], agent);
  for (let at = 0; at < load.seconds; at += 2 * SLICE_SECONDS) {
    await runSlice(direct, load, engines, agent);
    const before = readProcessUsage(pid).cpuMs;
    await runSlice(routed, load, [router?.url ?? ''], agent);
    routed.cpuMs += readProcessUsage(pid).cpuMs - before;
  }
  await agent.close();
  const {residentMb} = readProcessUsage(pid);
  return [
    direct.phase(),
    {
      ...routed.phase(),
      routerCpuMs: routed.cpuMs / routed.requests,
      routerMb: residentMb,
    },
  ];
}

/** Short answers through the router for a while, with its memory on the way. */
async function soak(cluster: Cluster, seconds: number): Promise<void> {
  const router = cluster.routers[0];
  const pid = router?.process?.pid ?? 0;
  const load = {callers: SOAK_CALLERS, stream: false, tokens: 2, seconds};
  const agent = new Agent({connections: SOAK_CALLERS});
  const tally = new Tally(Route.Routed);
  for (let at = 0; at < seconds; at += SLICE_SECONDS) {
    await runSlice(tally, load, [router?.url ?? ''], agent);
    const {requests, lost, perSecond} = tally.phase();
    const memory = readProcessUsage(pid).residentMb.toFixed(0);
    process.stdout.write(
      `${requests} requests, ${perSecond}/s, ${lost} lost, ${memory} MB\n`,
    );
  }
  await agent.close();
}

function print(title: string, phases: Phase[]): void {
  process.stdout.write(`${title}\n`);
  for (const phase of phases) {
    const {p50, p95, p99} = phase.firstTokenMs;
    process.stdout.write(
      `  ${phase.route.padEnd(7)} ${phase.requests} requests, ` +
        `${phase.perSecond}/s, ${phase.lost} lost, first token ms ` +
        `p50 ${p50.toFixed(2)} p95 ${p95.toFixed(2)} p99 ${p99.toFixed(2)}` +
        (phase.routerCpuMs === undefined
          ? ''
          : `, router ${phase.routerCpuMs.toFixed(3)} ms CPU a request` +
            `, ${(phase.routerMb ?? 0).toFixed(0)} MB`) +
        '\n',
    );
  }
}

const args = await yargs(hideBin(process.argv))
  .option('seconds', {type: 'number', default: 16})
  .option('soak', {
    type: 'number',
    describe: 'seconds of short answers only, with memory on the way',
  })
  .option('json', {type: 'boolean', default: false})
  .strict()
  .parseAsync();

const cluster = await Cluster.start({
  document: exampleOf(Deployment.Nilecoil),
  routers: 1,
  behaviourOf: (_name, kind) => (kind === 'runner' ? ENGINE : {}),
  direct: true,
});
if (args.soak !== undefined) {
  await soak(cluster, args.soak);
  await cluster.stop();
  process.exit(0);
}
const {seconds} = args;
const moderate = await compare(cluster, {
  callers: 4,
  stream: true,
  tokens: 16,
  seconds,
});
print('Moderate load: 4 callers, streams of 16 tokens', moderate);
const busy = await compare(cluster, {
  callers: 16,
  stream: true,
  tokens: 16,
  seconds,
});
print('Busy: 16 callers, streams of 16 tokens', busy);
const heavy = await compare(cluster, {
  callers: 192,
  stream: false,
  tokens: 2,
  seconds,
});
print('Heavy load: 192 callers, short answers', heavy);
await cluster.stop();
if (args.json) {
  process.stdout.write(`${JSON.stringify({moderate, busy, heavy})}\n`);
}
