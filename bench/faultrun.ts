import {Cluster} from './cluster.js';
import {exampleOf, type Deployment} from './deployment.js';
import {emptyHistory, type History} from './history.js';
import {Injector} from './injector.js';
import {ClosedLoad} from './closedload.js';
import {Random} from './random.js';
import {withFencing} from './leases.js';
import {planFaults, planHolderPauses} from './fault-schedule.js';

/** Concurrent callers of a run, unless told otherwise. */
export const DEFAULT_CALLERS = 16;

const ROUTERS = 3;
const LEASE_TERM_MS = 2_000;
/** Keeps the pauses of holders apart from the other randomness of a run. */
const HOLDER_SEED = 1_000_003;

/** What a fault run is started with. */
export interface FaultRun {
  /** Source of the schedule, the load and the stand-ins' behaviour. */
  seed: number;
  seconds: number;
  deployment: Deployment;
  callers: number;
}

/**
 * Runs a cluster under load and faults, and returns what was seen. Engines
 * check fencing numbers when the seed is odd, and ignore them when it is even.
 */
export async function runFaults({
  seed,
  seconds,
  deployment,
  callers,
}: FaultRun): Promise<History> {
  const random = new Random(seed);
  const history = emptyHistory();
  const fencing = seed % 2 === 0 ? 'ignored' : 'enforced';
  const document = withFencing(exampleOf(deployment), fencing);
  const cluster = await Cluster.start({
    document,
    routers: ROUTERS,
    flags: [`--lease-term-ms=${LEASE_TERM_MS}`],
    random: random.next,
    logBehaviour: {seed},
    behaviourOf: (_name, kind) =>
      kind === 'service' ? {delayMs: 20, seed} : {stepMs: 4, fencing, seed},
  });
  const injector = await Injector.open(cluster, history);
  const runMs = seconds * 1_000;
  const plan = [
    ...planFaults(random, runMs),
    ...planHolderPauses(new Random(seed + HOLDER_SEED), runMs),
  ];
  const load = new ClosedLoad(document, injector.stations, history, random);
  load.start(callers);
  const injected = plan.map(async fault => {
    await pause(fault.atMs);
    await injector.inject(fault);
  });
  await Promise.all([...injected, pause(seconds * 1_000)]);
  await load.stop();
  await injector.close();
  await cluster.stop();
  return history;
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
