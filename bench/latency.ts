import {build as buildHistogram, type Histogram} from 'hdr-histogram-js';
import {Agent} from 'undici';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {call, type Call} from './caller.js';
import {Cluster} from './cluster.js';
import {demoKey, Deployment, exampleOf} from './deployment.js';
import {readProcessUsage} from './process-usage.js';

/** Path that requests take to the engines. */
enum Route {
  /** Directly to the engines, in rotation. */
  Direct = 'direct',
  /** Through one router. */
  Routed = 'routed',
}

/** Measurements of one closed-loop load over one route. */
interface Phase {
  route: Route;
  requests: number;
  /** Requests without a complete, successful response. */
  lost: number;
  perSecond: number;
  /** Time to the first token in ms. */
  firstTokenMs: {p50: number; p95: number; p99: number};
  /** CPU time of the router per request, in ms. */
  routerCpuMs?: number;
  /** Resident memory of the router at the end, in MB. */
  routerMb?: number;
}

/** A closed-loop load: each caller sends when its last call has ended. */
interface LoadSpec {
  callers: number;
  stream: boolean;
  /** Output tokens of each request. */
  tokens: number;
  seconds: number;
}

const MICROSECONDS_PER_MS = 1000;
const ENGINE_BEHAVIOUR = {slots: 512, stepMs: 1};
const SLICE_SECONDS = 2;
const SOAK_CALLERS = 64;

function requestBody(load: LoadSpec, n: number) {
  return {
    model: 'tube-7b',
    stream: load.stream,
    messages: [{role: 'user', content: `Question ${n}`}],
    metadata: {output_tokens: String(load.tokens)},
  };
}

/** Accumulates the measurements of a route over all its time slices. */
class RouteRecorder {
  readonly histogram: Histogram = buildHistogram({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 60_000_000,
    numberOfSignificantValueDigits: 3,
  });
  requests = 0;
  lost = 0;
  /** Total duration of the slices, in ms. */
  busyMs = 0;
  /** CPU time of the router in the slices, in ms. */
  cpuMs = 0;

  constructor(readonly route: Route) {}

  toPhase(): Phase {
    const percentileMs = (percentile: number) =>
      this.histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
    return {
      route: this.route,
      requests: this.requests,
      lost: this.lost,
      perSecond: Math.round((this.requests / this.busyMs) * 1000),
      firstTokenMs: {
        p50: percentileMs(50),
        p95: percentileMs(95),
        p99: percentileMs(99),
      },
    };
  }
}

/** Runs the load against `urls` for one slice of time. */
async function runSlice(
  recorder: RouteRecorder,
  load: LoadSpec,
  urls: string[],
  agent: Agent,
): Promise<void> {
  const start = performance.now();
  const end = start + SLICE_SECONDS * 1000;
  const runCaller = async (index: number) => {
    for (let n = 0; performance.now() < end; n++) {
      const request: Call = {
        url: urls[(index + n) % urls.length] ?? '',
        path: '/v1/chat/completions',
        key: demoKey('glue-lab'),
        headers: {'x-request-id': `direct-${index}-${n}`},
        body: requestBody(load, n),
      };
      const reply = await call(request, {dispatcher: agent});
      recorder.requests++;
      if (!reply.ended) recorder.lost++;
      recorder.histogram.recordValue(
        (reply.firstTokenMs ?? 0) * MICROSECONDS_PER_MS,
      );
    }
  };
  const callers = Array.from({length: load.callers}, (_, i) => runCaller(i));
  await Promise.all(callers);
  recorder.busyMs += performance.now() - start;
}

/**
 * Measures both routes, alternating in short slices, so that background noise
 * of the machine affects both alike. An unrecorded slice warms the router up.
 */
async function compareRoutes(
  cluster: Cluster,
  load: LoadSpec,
): Promise<Phase[]> {
  const router = cluster.routers[0];
  const pid = router?.process?.pid ?? 0;
  const engines = cluster.upstreams
    .filter(({kind}) => kind === 'runner')
    .map(({url}) => url);
  const agent = new Agent({connections: load.callers});
  const direct = new RouteRecorder(Route.Direct);
  const routed = new RouteRecorder(Route.Routed);
  const warmUp = new RouteRecorder(Route.Routed);
  await runSlice(warmUp, load, [router?.url ?? ''], agent);
  for (
    let elapsedSeconds = 0;
    elapsedSeconds < load.seconds;
    elapsedSeconds += 2 * SLICE_SECONDS
  ) {
    await runSlice(direct, load, engines, agent);
    const before = readProcessUsage(pid).cpuMs;
    await runSlice(routed, load, [router?.url ?? ''], agent);
    routed.cpuMs += readProcessUsage(pid).cpuMs - before;
  }
  await agent.close();
  const {residentMb} = readProcessUsage(pid);
  return [
    direct.toPhase(),
    {
      ...routed.toPhase(),
      routerCpuMs: routed.cpuMs / routed.requests,
      routerMb: residentMb,
    },
  ];
}

/** Sends short requests through the router and prints its memory usage. */
async function soak(cluster: Cluster, seconds: number): Promise<void> {
  const router = cluster.routers[0];
  const pid = router?.process?.pid ?? 0;
  const load = {callers: SOAK_CALLERS, stream: false, tokens: 2, seconds};
  const agent = new Agent({connections: SOAK_CALLERS});
  const recorder = new RouteRecorder(Route.Routed);
  for (
    let elapsedSeconds = 0;
    elapsedSeconds < seconds;
    elapsedSeconds += SLICE_SECONDS
  ) {
    await runSlice(recorder, load, [router?.url ?? ''], agent);
    const {requests, lost, perSecond} = recorder.toPhase();
    const residentMb = readProcessUsage(pid).residentMb.toFixed(0);
    process.stdout.write(
      `${requests} requests, ${perSecond}/s, ${lost} lost, ${residentMb} MB\n`,
    );
  }
  await agent.close();
}

function printPhases(title: string, phases: Phase[]): void {
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
    describe:
      'seconds of a soak test of short answers that prints memory usage',
  })
  .option('json', {type: 'boolean', default: false})
  .strict()
  .parseAsync();

const cluster = await Cluster.start({
  document: exampleOf(Deployment.Nilecoil),
  routers: 1,
  behaviourOf: (_name, kind) => (kind === 'runner' ? ENGINE_BEHAVIOUR : {}),
  direct: true,
});
if (args.soak !== undefined) {
  await soak(cluster, args.soak);
  await cluster.stop();
  process.exit(0);
}
const {seconds} = args;
const moderate = await compareRoutes(cluster, {
  callers: 4,
  stream: true,
  tokens: 16,
  seconds,
});
printPhases('Moderate load: 4 callers, streams of 16 tokens', moderate);
const busy = await compareRoutes(cluster, {
  callers: 16,
  stream: true,
  tokens: 16,
  seconds,
});
printPhases('Busy: 16 callers, streams of 16 tokens', busy);
const heavy = await compareRoutes(cluster, {
  callers: 192,
  stream: false,
  tokens: 2,
  seconds,
});
printPhases('Heavy load: 192 callers, short answers', heavy);
await cluster.stop();
if (args.json) {
  process.stdout.write(`${JSON.stringify({moderate, busy, heavy})}\n`);
}
