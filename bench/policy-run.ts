import {documentSchema, type Configuration} from '../src/config/index.js';
import type {SchedulingPolicy} from '../src/admission/index.js';
import {
  ENGINE_DEFAULTS,
  seededRandom,
  type EngineExecution,
} from '../stand-ins/index.js';
import {Cluster} from './cluster.js';
import {exampleOf, type Deployment} from './deployment.js';
import {behaviourOf, ENGINES} from './engines.js';
import {arrangeLinks, type LinkPipes} from './links.js';
import {OpenLoad, type Served} from './open-loop-load.js';
import {arrivalsOf, WARM_UP_SECONDS} from './arrivals.js';
import {usageOf} from './process-usage.js';
import {engineWork, type EngineWork} from './wasted-work.js';

/** One run of the bench. */
export interface RunSpec {
  deployment: Deployment;
  seed: number;
  /** Measured time in seconds. */
  seconds: number;
  load: number;
  routers: number;
  policy: SchedulingPolicy;
}

/** The measures of one run. */
export interface RunFigures {
  /** Share of the requests of each class that met every target. */
  attainment: Record<string, number>;
  /** Requests answered whole within their targets, per second. */
  goodput: number;
  /** Share of the engines' work that was wasted. */
  wastedWork: number;
  /** Bytes over paid links, all traffic, both ways. */
  linkBytes: number;
  /** Share of the prompt tokens found in prefix caches. */
  prefixHitRate: number;
}

/** One run with all that was seen. */
export interface PolicyRun {
  figures: RunFigures;
  served: Served[];
  work: EngineWork;
  /** Processor time of each router, as a share of a core. */
  routerCores: number[];
}

/** Parts of the measured time in which a runner straggles, and which one. */
const STRAGGLES = [
  {runner: 0, from: 0.2, to: 0.5},
  {runner: 3, from: 0.65, to: 0.9},
];
const STRAGGLER_SLOWNESS = 4;
const SERVICE_DELAY_MS = 10;

/** Runs the mix of a deployment under one policy. */
export async function runPolicy(spec: RunSpec): Promise<PolicyRun> {
  const document = exampleOf(spec.deployment);
  const configuration = documentSchema.parse(document);
  const cluster = await Cluster.start({
    document,
    routers: spec.routers,
    flags: [`--policy=${spec.policy}`],
    behaviourOf: (upstream, kind) =>
      kind === 'runner'
        ? behaviourOf(indexOf(configuration, upstream))
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
  const pipes = arrangeLinks(cluster, configuration);
  const regions = new Map(
    configuration.zones.map(({name, region}) => [name, region]),
  );
  const driver = new OpenLoad(cluster, configuration.classes, regions, seed);
  const arrivals = arrivalsOf(deployment, ENGINES, load, seconds, seed);
  const straggles = scheduleStraggles(cluster, seconds);
  const before = cpuOf(cluster);
  const served = await driver.run(arrivals);
  const after = cpuOf(cluster);
  for (const handle of straggles) clearTimeout(handle);
  const work = await workOf(cluster, served);
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

function scheduleStraggles(
  cluster: Cluster,
  seconds: number,
): NodeJS.Timeout[] {
  const runners = cluster.upstreams.filter(({kind}) => kind === 'runner');
  const at = (share: number) => (WARM_UP_SECONDS + share * seconds) * 1_000;
  return STRAGGLES.flatMap(({runner, from, to}) => {
    const target = runners[runner];
    if (target === undefined) return [];
    const set = (slowness: number) => void cluster.behave(target, {slowness});
    return [
      setTimeout(() => set(STRAGGLER_SLOWNESS), at(from)),
      setTimeout(() => set(1), at(to)),
    ];
  });
}

function figuresOf(
  served: readonly Served[],
  work: EngineWork,
  pipes: LinkPipes,
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
      classes.sort().map(name => [name, rounded(shareOf(name))]),
    ),
    goodput: rounded(attained.length / seconds),
    wastedWork: rounded((work.undelivered + work.recomputed) / work.total),
    linkBytes: pipes.bytes,
    prefixHitRate: rounded(work.cachedTokens / work.promptTokens),
  };
}

async function workOf(
  cluster: Cluster,
  served: readonly Served[],
): Promise<EngineWork> {
  const runners = cluster.upstreams.filter(({kind}) => kind === 'runner');
  const journals = await Promise.all(
    runners.map(async (runner, index) => ({
      executions: await cluster.journal<EngineExecution>(runner),
      behaviour: {...ENGINE_DEFAULTS, ...behaviourOf(index)},
    })),
  );
  return engineWork(journals, served);
}

function indexOf({pools}: Configuration, upstream: string): number {
  const runners = pools
    .filter(({kind}) => kind === 'runner')
    .flatMap(({upstreams}) => upstreams.map(({name}) => name));
  return Math.max(0, runners.indexOf(upstream));
}

function cpuOf(cluster: Cluster): number[] {
  return cluster.routers.map(({process}) =>
    process === undefined ? 0 : usageOf(process.pid).cpuMs,
  );
}

function rounded(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}
