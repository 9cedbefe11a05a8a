import {
  withChangedWorkspace,
  smallDocument,
  withRunners,
  withWorkspaces,
} from './documents.js';
import {MeasuredFleet, sleep, type ResourceRates} from './measured-fleet.js';
import {fitLine, median, type Point, type LinearFit} from './linear-fit.js';

const SETTLE_MS = 8_000;
const MEASURE_SECONDS = 10;
/** Measured time for each document size, in seconds. */
const DOCUMENT_MEASURE_SECONDS = 8;
const PUBLISH_SAMPLES = 5;
const CONTROL_BUDGET_BYTES_PER_SECOND = 2_048;
const CPU_BUDGET_PERCENT = 1.8;
const HEAP_BUDGET_MB = 64;
const IN_FORCE_BUDGET_MS = 6_000;
/**
 * Instances that long-poll the log for configurations. In a fleet of at most
 * this size every instance does, and has all other tasks assigned by rank too.
 */
const LOG_READERS = 9;

/** Sizes that the project is designed for. */
const TARGET_COUNTS = {
  nodes: 340,
  runners: 2_600,
  workspaces: 10_000,
  changesPerMinute: 2_200 / 1_440,
};

/** Measurements of one fleet; `x` is the quantity that was varied. */
interface FleetRun {
  x: number;
  rates: ResourceRates;
  /** Median time from acceptance until in force everywhere; NaN if unmeasured. */
  inForceMs: number;
}

const pointsOf = (runs: FleetRun[], y: (run: FleetRun) => number): Point[] =>
  runs.map(run => [run.x, y(run)]);

/** Fits control traffic, CPU and memory per instance. */
function fitControlCosts(
  runs: FleetRun[],
  against: string,
  target: number,
  fitFrom = 0,
): LinearFit[] {
  const bytes = {unit: 'B/s', against, target, fitFrom};
  return [
    fitLine(
      {
        name: `control bytes by ${against}`,
        ...bytes,
        budget: CONTROL_BUDGET_BYTES_PER_SECOND,
      },
      pointsOf(runs, ({rates}) => rates.bytes),
    ),
    fitLine(
      {name: `datagram bytes by ${against}`, ...bytes},
      pointsOf(runs, ({rates}) => rates.datagramBytes),
    ),
    fitLine(
      {name: `peer call bytes by ${against}`, ...bytes},
      pointsOf(runs, ({rates}) => rates.peerCallBytes),
    ),
    fitLine(
      {name: `platform bytes by ${against}`, ...bytes},
      pointsOf(runs, ({rates}) => rates.platformBytes),
    ),
    fitLine(
      {
        name: `idle CPU by ${against}`,
        unit: '% of a core',
        against,
        target,
        fitFrom,
        budget: CPU_BUDGET_PERCENT,
      },
      pointsOf(runs, ({rates}) => rates.cpuPercent),
    ),
    fitLine(
      {
        name: `heap by ${against}`,
        unit: 'MB',
        against,
        target,
        fitFrom,
        budget: HEAP_BUDGET_MB,
      },
      pointsOf(runs, ({rates}) => rates.heapMb),
    ),
    fitLine(
      {
        name: `resident memory by ${against}`,
        unit: 'MB',
        against,
        target,
        fitFrom,
      },
      pointsOf(runs, ({rates}) => rates.residentMb),
    ),
  ];
}

/** Measures control traffic, CPU and memory by router processes. */
export async function measureByNodes(
  sizes: readonly number[],
): Promise<LinearFit[]> {
  const runs: FleetRun[] = [];
  for (const nodes of sizes) {
    const fleet = await MeasuredFleet.start(nodes, smallDocument());
    if (fleet === undefined) continue;
    await sleep(SETTLE_MS);
    const rates = await fleet.measure(MEASURE_SECONDS);
    runs.push({x: nodes, rates, inForceMs: await medianInForceMs(fleet)});
    await fleet.stop();
  }
  const inForceFit = fitLine(
    {
      name: 'accepted to in force everywhere by nodes',
      unit: 'ms',
      against: 'nodes',
      target: TARGET_COUNTS.nodes,
      fitFrom: LOG_READERS,
      budget: IN_FORCE_BUDGET_MS,
    },
    pointsOf(runs, run => run.inForceMs),
  );
  return [
    ...fitControlCosts(runs, 'nodes', TARGET_COUNTS.nodes, LOG_READERS),
    inForceFit,
  ];
}

async function medianInForceMs(fleet: MeasuredFleet): Promise<number> {
  const times: number[] = [];
  for (let round = 0; round < PUBLISH_SAMPLES; round++) {
    times.push(
      await fleet.publish(withChangedWorkspace(fleet.document, round + 1)),
    );
  }
  return median(times);
}

/** Measures control traffic, CPU and memory of three routers by document. */
async function measureByDocument(
  against: 'runners' | 'workspaces',
  sizes: readonly number[],
): Promise<LinearFit[]> {
  const fleet = await MeasuredFleet.start(3, smallDocument());
  if (fleet === undefined) return [];
  const runs: FleetRun[] = [];
  for (const x of sizes) {
    const grow = against === 'runners' ? withRunners : withWorkspaces;
    await fleet.publish(grow(fleet.document, x));
    await sleep(SETTLE_MS / 2);
    const rates = await fleet.measure(DOCUMENT_MEASURE_SECONDS);
    runs.push({x, rates, inForceMs: NaN});
  }
  await fleet.stop();
  return fitControlCosts(runs, against, TARGET_COUNTS[against]);
}

/** Measures control traffic, CPU and memory by runners. */
export const measureByRunners = (sizes: readonly number[]) =>
  measureByDocument('runners', sizes);

/** Measures control traffic, CPU and memory by workspaces. */
export const measureByWorkspaces = (sizes: readonly number[]) =>
  measureByDocument('workspaces', sizes);

/**
 * Measures control traffic, CPU and memory of nine routers by configuration
 * changes per minute.
 */
export async function measureByChanges(
  rates: readonly number[],
): Promise<LinearFit[]> {
  const fleet = await MeasuredFleet.start(9, smallDocument());
  if (fleet === undefined) return [];
  const runs: FleetRun[] = [];
  await sleep(SETTLE_MS);
  for (const perMinute of rates) {
    const measured = fleet.measure(MEASURE_SECONDS);
    const count = (perMinute * MEASURE_SECONDS) / 60;
    for (let round = 0; round < count; round++) {
      const start = performance.now();
      await fleet.publish(
        withChangedWorkspace(fleet.document, round + perMinute),
      );
      const remainingMs = 60_000 / perMinute - (performance.now() - start);
      await sleep(Math.max(0, remainingMs));
    }
    runs.push({x: perMinute, rates: await measured, inForceMs: NaN});
  }
  await fleet.stop();
  return fitControlCosts(
    runs,
    'changes a minute',
    TARGET_COUNTS.changesPerMinute,
  );
}
