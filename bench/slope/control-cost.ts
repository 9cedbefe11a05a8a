import {
  changed,
  smallDocument,
  withRunners,
  withWorkspaces,
} from './documents.js';
import {MeasuredFleet, sleep, type Rates} from './measured-fleet.js';
import {fit, median, type Point, type Slope} from './linear-fit.js';

const SETTLE_MS = 8_000;
const MEASURE_SECONDS = 10;
/** Time each size of a document is measured, in s. */
const DOCUMENT_SECONDS = 8;
const PUBLISHES = 5;
const CONTROL_BYTES = 2_048;
const CONTROL_CPU_PERCENT = 1.8;
const CONTROL_MB = 64;
const IN_FORCE_MS = 6_000;
/** Instances that wait at the log, and so have every duty by rank. */
const WATCHERS = 9;

/** Sizes at target. */
const TARGET = {
  nodes: 340,
  runners: 2_600,
  workspaces: 10_000,
  changesPerMinute: 2_200 / 1_440,
};

/** What one run of a fleet gave. */
interface Run {
  x: number;
  rates: Rates;
  inForceMs: number;
}

const pointsOf = (runs: Run[], y: (run: Run) => number): Point[] =>
  runs.map(run => [run.x, y(run)]);

function controlSlopes(
  runs: Run[],
  against: string,
  target: number,
  fitFrom = 0,
): Slope[] {
  const bytes = {unit: 'B/s', against, target, fitFrom};
  return [
    fit(
      {name: `control bytes by ${against}`, ...bytes, budget: CONTROL_BYTES},
      pointsOf(runs, ({rates}) => rates.bytes),
    ),
    fit(
      {name: `datagram bytes by ${against}`, ...bytes},
      pointsOf(runs, ({rates}) => rates.datagramBytes),
    ),
    fit(
      {name: `peer call bytes by ${against}`, ...bytes},
      pointsOf(runs, ({rates}) => rates.peerCallBytes),
    ),
    fit(
      {name: `platform bytes by ${against}`, ...bytes},
      pointsOf(runs, ({rates}) => rates.platformBytes),
    ),
    fit(
      {
        name: `idle CPU by ${against}`,
        unit: '% of a core',
        against,
        target,
        fitFrom,
        budget: CONTROL_CPU_PERCENT,
      },
      pointsOf(runs, ({rates}) => rates.cpuPercent),
    ),
    fit(
      {
        name: `heap by ${against}`,
        unit: 'MB',
        against,
        target,
        fitFrom,
        budget: CONTROL_MB,
      },
      pointsOf(runs, ({rates}) => rates.heapMb),
    ),
    fit(
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
export async function byNodes(sizes: readonly number[]): Promise<Slope[]> {
  const runs: Run[] = [];
  for (const nodes of sizes) {
    const fleet = await MeasuredFleet.start(nodes, smallDocument());
    if (fleet === undefined) continue;
    await sleep(SETTLE_MS);
    const rates = await fleet.measure(MEASURE_SECONDS);
    runs.push({x: nodes, rates, inForceMs: await inForce(fleet)});
    await fleet.stop();
  }
  const inForceSlope = fit(
    {
      name: 'accepted to in force everywhere by nodes',
      unit: 'ms',
      against: 'nodes',
      target: TARGET.nodes,
      fitFrom: WATCHERS,
      budget: IN_FORCE_MS,
    },
    pointsOf(runs, run => run.inForceMs),
  );
  return [
    ...controlSlopes(runs, 'nodes', TARGET.nodes, WATCHERS),
    inForceSlope,
  ];
}

async function inForce(fleet: MeasuredFleet): Promise<number> {
  const times: number[] = [];
  for (let round = 0; round < PUBLISHES; round++) {
    times.push(await fleet.publish(changed(fleet.document, round + 1)));
  }
  return median(times);
}

/** Control of three routers against the size of the document. */
async function byDocument(
  against: 'runners' | 'workspaces',
  sizes: readonly number[],
): Promise<Slope[]> {
  const fleet = await MeasuredFleet.start(3, smallDocument());
  if (fleet === undefined) return [];
  const runs: Run[] = [];
  for (const x of sizes) {
    const grow = against === 'runners' ? withRunners : withWorkspaces;
    await fleet.publish(grow(fleet.document, x));
    await sleep(SETTLE_MS / 2);
    const rates = await fleet.measure(DOCUMENT_SECONDS);
    runs.push({x, rates, inForceMs: NaN});
  }
  await fleet.stop();
  return controlSlopes(runs, against, TARGET[against]);
}

/** Control against the number of runners. */
export const byRunners = (sizes: readonly number[]) =>
  byDocument('runners', sizes);

/** Control against the number of workspaces. */
export const byWorkspaces = (sizes: readonly number[]) =>
  byDocument('workspaces', sizes);

/** Control of nine routers against the rate of configuration changes. */
export async function byChanges(rates: readonly number[]): Promise<Slope[]> {
  const fleet = await MeasuredFleet.start(9, smallDocument());
  if (fleet === undefined) return [];
  const runs: Run[] = [];
  await sleep(SETTLE_MS);
  for (const perMinute of rates) {
    const measured = fleet.measure(MEASURE_SECONDS);
    const count = (perMinute * MEASURE_SECONDS) / 60;
    for (let round = 0; round < count; round++) {
      const start = performance.now();
      await fleet.publish(changed(fleet.document, round + perMinute));
      const rest = 60_000 / perMinute - (performance.now() - start);
      await sleep(Math.max(0, rest));
    }
    runs.push({x: perMinute, rates: await measured, inForceMs: NaN});
  }
  await fleet.stop();
  return controlSlopes(runs, 'changes a minute', TARGET.changesPerMinute);
}
