import {Cluster} from './cluster.js';
import {exampleOf, type Deployment} from './deployment.js';
import {emptyHistory, type History} from './history.js';
import {Injector} from './injector.js';
import {ClosedLoad} from './closedload.js';
import {Random} from './random.js';
import {withFencing} from './leases.js';
import {planFaults, planHolderPauses} from './fault-schedule.js';

/** Default number of concurrent callers. */
export const DEFAULT_CALLERS = 16;

const ROUTER_COUNT = 3;
const LEASE_TERM_MS = 2_000;
/**
 * Added to the seed of a run to seed the pauses of lease holders, so that they
 * leave the other random choices of the run unchanged.
 */
const HOLDER_SEED_OFFSET = 1_000_003;

/** Parameters of a fault run. */
export interface FaultRunSpec {
  /** Seed of the fault schedule, the load and the stand-ins. */
  seed: number;
  seconds: number;
  deployment: Deployment;
  callers: number;
}

/**
 * Runs a cluster under load while injecting faults, and returns the history
 * that was recorded. Engines check fencing numbers when the seed is odd, and
 * ignore them when it is even.
 */
export async function runFaults({
  seed,
  seconds,
  deployment,
  callers,
}: FaultRunSpec): Promise<History> {
  const random = new Random(seed);
  const history = emptyHistory();
  const fencing = seed % 2 === 0 ? 'ignored' : 'enforced';
  const document = withFencing(exampleOf(deployment), fencing);
  const cluster = await Cluster.start({
    document,
    routers: ROUTER_COUNT,
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
    ...planHolderPauses(new Random(seed + HOLDER_SEED_OFFSET), runMs),
  ];
  const load = new ClosedLoad(document, injector.stations, history, random);
  load.start(callers);
  const injections = plan.map(async fault => {
    await sleep(fault.atMs);
    await injector.inject(fault);
  });
  await Promise.all([...injections, sleep(seconds * 1_000)]);
  await load.stop();
  await injector.close();
  await cluster.stop();
  return history;
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
