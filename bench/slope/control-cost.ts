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
/** Time each size of a document is measured, in s. */
const DOCUMENT_MEASURE_SECONDS = 8;
const PUBLISH_SAMPLES = 5;
const CONTROL_BUDGET_BYTES_PER_SECOND = 2_048;
const CPU_BUDGET_PERCENT = 1.8;
const HEAP_BUDGET_MB = 64;
const IN_FORCE_BUDGET_MS = 6_000;
/** Instances that wait at the log, and so have every duty by rank. */
const LOG_READERS = 9;

/** Sizes at target. */
const TARGET_COUNTS = {
  nodes: 340,
  runners: 2_600,
  workspaces: 10_000,
  changesPerMinute: 2_200 / 1_440,
};

/** What one run of a fleet gave. */
interface FleetRun {
  x: number;
  rates: ResourceRates;
  inForceMs: number;
}

const pointsOf = (runs: FleetRun[], y: (run: FleetRun) => number): Point[] =>
  runs.map(run => [run.x, y(run)]);

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

/** Control against the number of router processes. */
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
  const inForceSlope = fitLine(
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
    inForceSlope,
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

/** Control of three routers against the size of the document. */
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

/** Control against the number of runners. */
export const measureByRunners = (sizes: readonly number[]) =>
  measureByDocument('runners', sizes);

/** Control against the number of workspaces. */
export const measureByWorkspaces = (sizes: readonly number[]) =>
  measureByDocument('workspaces', sizes);

/** Control of nine routers against the rate of configuration changes. */
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
      const rest = 60_000 / perMinute - (performance.now() - start);
      await sleep(Math.max(0, rest));
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
