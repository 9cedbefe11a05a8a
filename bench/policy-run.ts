import {documentSchema, type Configuration} from '../src/config/index.js';
import type {SchedulingPolicy} from '../src/admission/index.js';
import {
  ENGINE_DEFAULTS,
  seededRandom,
  type EngineExecution,
} from '../stand-ins/index.js';
import {Cluster} from './cluster.js';
import {exampleOf, type Deployment} from './deployment.js';
import {engineBehaviour, ENGINE_PROFILES} from './engines.js';
import {simulateLinks, type LinkTraffic} from './links.js';
import {OpenLoopLoad, type ServedRequest} from './open-loop-load.js';
import {generateArrivals, WARM_UP_SECONDS} from './arrivals.js';
import {readProcessUsage} from './process-usage.js';
import {sumEngineWork, type EngineWork} from './wasted-work.js';

/** Parameters of one run of the bench. */
export interface RunSpec {
  deployment: Deployment;
  seed: number;
  /** Measured time in seconds. */
  seconds: number;
  /** Offered load as a share of capacity. */
  load: number;
  routers: number;
  policy: SchedulingPolicy;
}

/** Results of one run. */
export interface RunFigures {
  /** Share of the requests of each class that met every target. */
  attainment: Record<string, number>;
  /** Requests answered completely and within their targets, per second. */
  goodput: number;
  /** Share of the engines' work that was wasted. */
  wastedWork: number;
  /** Bytes over paid links, for all traffic in both directions. */
  linkBytes: number;
  /** Share of the prompt tokens found in prefix caches. */
  prefixHitRate: number;
}

/** Results of one run with the data behind them. */
export interface PolicyRun {
  figures: RunFigures;
  served: ServedRequest[];
  work: EngineWork;
  /** CPU time of each router, as a share of a core. */
  routerCores: number[];
}

/** Runners that slow down, with start and end as shares of the measured time. */
const STRAGGLER_PERIODS = [
  {runner: 0, from: 0.2, to: 0.5},
  {runner: 3, from: 0.65, to: 0.9},
];
const STRAGGLER_SLOWDOWN = 4;
const SERVICE_DELAY_MS = 10;

/** Runs the workload mix of a deployment under one scheduling policy. */
export async function runPolicy(spec: RunSpec): Promise<PolicyRun> {
  const document = exampleOf(spec.deployment);
  const configuration = documentSchema.parse(document);
  const cluster = await Cluster.start({
    document,
    routers: spec.routers,
    flags: [`--policy=${spec.policy}`],
    behaviourOf: (upstream, kind) =>
      kind === 'runner'
        ? engineBehaviour(runnerIndexOf(configuration, upstream))
        : {delayMs: SERVICE_DELAY_MS, reportLagMs: 500},
    random: seededRandom(spec.seed),
  });
  try {
    return await measure(spec, cluster, configuration);
  } finally {
    await cluster.stop();
  }
}

async function measure(
  spec: RunSpec,
  cluster: Cluster,
  configuration: Configuration,
): Promise<PolicyRun> {
  const {deployment, seed, seconds, load} = spec;
  const pipes = simulateLinks(cluster, configuration);
  const regions = new Map(
    configuration.zones.map(({name, region}) => [name, region]),
  );
  const openLoad = new OpenLoopLoad(
    cluster,
    configuration.classes,
    regions,
    seed,
  );
  const arrivals = generateArrivals(
    deployment,
    ENGINE_PROFILES,
    load,
    seconds,
    seed,
  );
  const stragglerTimers = scheduleStragglers(cluster, seconds);
  const before = routerCpuMs(cluster);
  const served = await openLoad.run(arrivals);
  const after = routerCpuMs(cluster);
  for (const handle of stragglerTimers) clearTimeout(handle);
  const work = await readEngineWork(cluster, served);
  const elapsedMs = (WARM_UP_SECONDS + seconds) * 1_000;
  return {
    figures: figuresOf(served, work, pipes, seconds),
    served,
    work,
    routerCores: after.map((ms, index) => {
      return (ms - (before[index] ?? 0)) / elapsedMs;
    }),
  };
}

function scheduleStragglers(
  cluster: Cluster,
  seconds: number,
): NodeJS.Timeout[] {
  const runners = cluster.upstreams.filter(({kind}) => kind === 'runner');
  const msAtShare = (share: number) =>
    (WARM_UP_SECONDS + share * seconds) * 1_000;
  return STRAGGLER_PERIODS.flatMap(({runner, from, to}) => {
    const target = runners[runner];
    if (target === undefined) return [];
    const set = (slowness: number) =>
      void cluster.setBehaviour(target, {slowness});
    return [
      setTimeout(() => set(STRAGGLER_SLOWDOWN), msAtShare(from)),
      setTimeout(() => set(1), msAtShare(to)),
    ];
  });
}

function figuresOf(
  served: readonly ServedRequest[],
  work: EngineWork,
  pipes: LinkTraffic,
  seconds: number,
): RunFigures {
  const measured = served.filter(item => item.measured);
  const attained = measured.filter(item => item.attained);
  const classes = [...new Set(measured.map(({arrival}) => arrival.class))];
  const shareOf = (name: string) =>
    attained.filter(({arrival}) => arrival.class === name).length /
    measured.filter(({arrival}) => arrival.class === name).length;
  return {
    attainment: Object.fromEntries(
      classes.sort().map(name => [name, roundToFourPlaces(shareOf(name))]),
    ),
    goodput: roundToFourPlaces(attained.length / seconds),
    wastedWork: roundToFourPlaces(
      (work.undelivered + work.recomputed) / work.total,
    ),
    linkBytes: pipes.bytes,
    prefixHitRate: roundToFourPlaces(work.cachedTokens / work.promptTokens),
  };
}

async function readEngineWork(
  cluster: Cluster,
  served: readonly ServedRequest[],
): Promise<EngineWork> {
  const runners = cluster.upstreams.filter(({kind}) => kind === 'runner');
  const journals = await Promise.all(
    runners.map(async (runner, index) => ({
      executions: await cluster.journal<EngineExecution>(runner),
      behaviour: {...ENGINE_DEFAULTS, ...engineBehaviour(index)},
    })),
  );
  return sumEngineWork(journals, served);
}

function runnerIndexOf({pools}: Configuration, upstream: string): number {
  const runners = pools
    .filter(({kind}) => kind === 'runner')
    .flatMap(({upstreams}) => upstreams.map(({name}) => name));
  return Math.max(0, runners.indexOf(upstream));
}

function routerCpuMs(cluster: Cluster): number[] {
  return cluster.routers.map(({process}) =>
    process === undefined ? 0 : readProcessUsage(process.pid).cpuMs,
  );
}

function roundToFourPlaces(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}
