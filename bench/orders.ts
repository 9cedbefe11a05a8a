import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {documentSchema, type ConfigurationDraft} from '../src/config/index.js';
import type {EngineState, EngineTask} from '../src/order/index.js';
import {Cluster, type RouterProcess} from './cluster.js';
import {Deployment, exampleOf} from './deployment.js';
import {
  readGrants,
  readLeaseRecords,
  readEngineOrders,
  type Grant,
} from './leases.js';

const STEADY_STATE_MS = 30_000;
const SETTLE_MS = 6_000;
/** Time without orders or pending loads that ends a measured change, in ms. */
const QUIET_MS = 12_000;
const POLL_MS = 20;

/** Measurements that `--matter` selects. */
enum Measurement {
  /** Lease records per second, with one runner pool and with many. */
  Steady = 'steady',
  /** Time from the end of a lease holder to the next grant. */
  Takeover = 'takeover',
  /** Orders that a configuration change causes. */
  Changes = 'changes',
}

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/** Waits for the grant after the first `known` ones. */
async function waitForGrant(cluster: Cluster, known: number): Promise<Grant> {
  for (;;) {
    const next = (await readGrants(cluster))[known];
    if (next !== undefined) return next;
    await sleep(POLL_MS);
  }
}

/** Splits the runner pools of a document into pools of one runner each. */
function withSingleRunnerPools(
  document: ConfigurationDraft,
): ConfigurationDraft {
  const pools = document.pools.flatMap<ConfigurationDraft['pools'][number]>(
    pool =>
      pool.kind === 'service'
        ? [pool]
        : pool.upstreams.map((upstream, index) => ({
            ...pool,
            name: `${pool.name}-${index}`,
            models: pool.models.map(({copies: _copies, ...model}) => model),
            upstreams: [upstream],
          })),
  );
  return {...document, pools};
}

async function measureSteadyState(
  routers: number,
  split: boolean,
  termMs: number,
) {
  const whole = exampleOf(Deployment.Nilecoil);
  const document = split ? withSingleRunnerPools(whole) : whole;
  const flags = [`--lease-term-ms=${termMs}`];
  const cluster = await Cluster.start({document, routers, flags});
  try {
    await sleep(SETTLE_MS);
    const before = (await readLeaseRecords(cluster)).length;
    await sleep(STEADY_STATE_MS);
    const lines = (await readLeaseRecords(cluster)).slice(before);
    const bytes = JSON.stringify(lines.map(({value}) => value)).length;
    return {
      routers,
      termMs,
      pools: document.pools.filter(({kind}) => kind === 'runner').length,
      recordsPerSecond: (lines.length * 1_000) / STEADY_STATE_MS,
      bytesPerRecord: Math.round(bytes / Math.max(1, lines.length)),
    };
  } finally {
    await cluster.stop();
  }
}

/** A lease in the log belongs to no router of the cluster. */
class UnknownHolder extends Error {
  constructor(readonly holder: string) {
    super(`lease holder ${holder} is not a router of the cluster`);
  }
}

function routerOf({routers}: Cluster, grant: Grant): RouterProcess {
  const router = routers.find(({name}) => name === grant.router);
  if (router === undefined) throw new UnknownHolder(grant.router);
  return router;
}

async function measureTakeover(routers: number, termMs: number) {
  const document = exampleOf(Deployment.Nilecoil);
  const flags = [`--lease-term-ms=${termMs}`];
  const cluster = await Cluster.start({document, routers, flags});
  const tookMs: Record<string, number[]> = {kill: [], pause: [], terminate: []};
  try {
    let grant = await waitForGrant(cluster, 0);
    for (const ending of ['kill', 'pause', 'terminate'] as const) {
      await sleep(SETTLE_MS);
      const known = (await readGrants(cluster)).length;
      const router = routerOf(cluster, grant);
      const at = Date.now();
      if (ending === 'pause') router.process?.pause();
      else if (ending === 'kill') await router.process?.kill();
      else void router.process?.terminate();
      grant = await waitForGrant(cluster, known);
      tookMs[ending]?.push(grant.at - at);
    }
    return {routers, termMs, tookMs};
  } finally {
    for (const {process} of cluster.routers) process?.resume();
    await cluster.stop();
  }
}

/** Counts the orders that all engines received, by type. */
async function countOrders(cluster: Cluster): Promise<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const upstream of cluster.upstreams) {
    if (upstream.kind !== 'runner') continue;
    for (const {order} of await readEngineOrders(upstream)) {
      const type: EngineTask['type'] = order.type;
      counts[type] = (counts[type] ?? 0) + 1;
    }
  }
  return counts;
}

/**
 * Waits until orders and pending loads have been stable for [[QUIET_MS]], and
 * returns the wall-clock time of the last change in ms.
 */
async function waitUntilQuiet(cluster: Cluster): Promise<number> {
  let last = '';
  let since = Date.now();
  while (Date.now() - since < QUIET_MS) {
    await sleep(POLL_MS);
    const now = JSON.stringify([
      await countOrders(cluster),
      await countPendingLoads(cluster),
    ]);
    if (now === last) continue;
    last = now;
    since = Date.now();
  }
  return since;
}

async function countPendingLoads(cluster: Cluster): Promise<number> {
  let sum = 0;
  for (const {url, kind} of cluster.upstreams) {
    if (kind !== 'runner') continue;
    const state = (await (await fetch(`${url}/models`)).json()) as EngineState;
    sum += state.pending.length;
  }
  return sum;
}

/** A change to one model of a runner pool. */
type ModelChange = (
  model: ReturnType<typeof modelsOf>[number],
) => ReturnType<typeof modelsOf>[number];

function modelsOf(document: ConfigurationDraft) {
  return document.pools.flatMap(pool =>
    pool.kind === 'runner' ? pool.models : [],
  );
}

function withChangedModels(document: ConfigurationDraft, change: ModelChange) {
  const pools = document.pools.map(pool =>
    pool.kind === 'runner' ? {...pool, models: pool.models.map(change)} : pool,
  );
  return documentSchema.parse({...document, pools});
}

interface NamedChange {
  name: string;
  change: ModelChange;
}

const CHANGES: NamedChange[] = [
  {
    name: 'one copy more of tube-7b',
    change: model => (model.name === 'tube-7b' ? {...model, copies: 4} : model),
  },
  {
    name: 'a new version of tube-7b',
    change: model =>
      model.name === 'tube-7b' ? {...model, version: '2', copies: 4} : model,
  },
];

async function measureChanges(routers: number, termMs: number) {
  const flags = [`--lease-term-ms=${termMs}`];
  const document = exampleOf(Deployment.Nilecoil);
  const cluster = await Cluster.start({document, routers, flags});
  const results = [];
  try {
    const start = Date.now();
    let settledAt = await waitUntilQuiet(cluster);
    let before = await countOrders(cluster);
    results.push({change: 'first placement', ms: settledAt - start, ...before});
    let base = 1;
    for (const {name, change} of CHANGES) {
      const at = Date.now();
      base = await cluster.publish(
        withChangedModels(cluster.document, change),
        base,
      );
      settledAt = await waitUntilQuiet(cluster);
      const after = await countOrders(cluster);
      results.push({
        change: name,
        ms: settledAt - at,
        ...difference(after, before),
      });
      before = after;
    }
    return {routers, termMs, results};
  } finally {
    await cluster.stop();
  }
}

function difference(
  after: Record<string, number>,
  before: Record<string, number>,
) {
  return Object.fromEntries(
    Object.entries(after).map(([type, count]) => [
      type,
      count - (before[type] ?? 0),
    ]),
  );
}

async function measure(
  measurement: Measurement,
  routers: number,
  termMs: number,
) {
  switch (measurement) {
    case Measurement.Steady:
      return [
        await measureSteadyState(routers, false, termMs),
        await measureSteadyState(routers, true, termMs),
      ];
    case Measurement.Takeover:
      return measureTakeover(routers, termMs);
    case Measurement.Changes:
      return measureChanges(routers, termMs);
  }
}

const args = await yargs(hideBin(process.argv))
  .scriptName('orders')
  .option('matter', {choices: Object.values(Measurement), demandOption: true})
  .option('routers', {type: 'number', default: 9})
  .option('lease-term-ms', {type: 'number', default: 15_000})
  .strict()
  .parseAsync();
const result = await measure(args.matter, args.routers, args.leaseTermMs);
process.stdout.write(`${JSON.stringify(result)}\n`);
