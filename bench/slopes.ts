import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {
  measureByChanges,
  measureByNodes,
  measureByRunners,
  measureByWorkspaces,
} from './slope/control-cost.js';
import {measureByKeyedRequests} from './slope/keyed-requests.js';
import {measureDecisionTime} from './slope/decision-time.js';
import {measureByDocumentSize} from './slope/document-size.js';
import type {LinearFit} from './slope/linear-fit.js';

/** Measurements that `--only` selects. */
enum Measurement {
  Ledger = 'ledger',
  Nodes = 'nodes',
  Runners = 'runners',
  Workspaces = 'workspaces',
  Changes = 'changes',
  Claims = 'claims',
  Decision = 'decision',
}

function measure(
  measurement: Measurement,
  sizes: readonly number[],
): Promise<LinearFit[]> {
  switch (measurement) {
    case Measurement.Ledger:
      return Promise.resolve(measureByDocumentSize());
    case Measurement.Nodes:
      return measureByNodes(sizes);
    case Measurement.Runners:
      return measureByRunners([1, 60, 240]);
    case Measurement.Workspaces:
      return measureByWorkspaces([10, 1_000, 10_000]);
    case Measurement.Changes:
      return measureByChanges([6, 30, 60]);
    case Measurement.Claims:
      return measureByKeyedRequests();
    case Measurement.Decision:
      return measureDecisionTime();
  }
}

function printFits(fits: readonly LinearFit[]): void {
  for (const fit of fits) {
    const {name, unit, points, atTarget, target, budget} = fit;
    const measured = points.map(([x, y]) => `${x}: ${y}`).join(', ');
    const limit = budget === undefined ? '' : ` of ${budget}`;
    const over = budget !== undefined && atTarget > budget ? ' OVER' : '';
    process.stdout.write(
      `${name} [${unit}]\n  measured ${measured}\n` +
        `  at ${target}: ${atTarget}${limit}${over}\n`,
    );
  }
}

const args = await yargs(hideBin(process.argv))
  .scriptName('slopes')
  .option('json', {type: 'boolean', default: false})
  .option('only', {
    choices: Object.values(Measurement),
    array: true,
    default: Object.values(Measurement),
    describe: 'measurements to run',
  })
  .option('nodes', {
    type: 'number',
    array: true,
    default: [3, 9, 20, 40],
    describe: 'fleet sizes to measure',
  })
  .strict()
  .parseAsync();

const slopes: LinearFit[] = [];
for (const measurement of args.only) {
  slopes.push(...(await measure(measurement, args.nodes)));
}
if (args.json) process.stdout.write(`${JSON.stringify({slopes})}\n`);
else printFits(slopes);
process.exit(0);
