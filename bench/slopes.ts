import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {
  byChanges,
  byNodes,
  byRunners,
  byWorkspaces,
} from './slope/control-cost.js';
import {byKeyedRequests} from './slope/keyed-requests.js';
import {byDecision} from './slope/decision-time.js';
import {byDocumentSize} from './slope/document-size.js';
import type {Slope} from './slope/linear-fit.js';

/** Groups of slopes that can be measured one by one. */
enum Group {
  Ledger = 'ledger',
  Nodes = 'nodes',
  Runners = 'runners',
  Workspaces = 'workspaces',
  Changes = 'changes',
  Claims = 'claims',
  Decision = 'decision',
}

function measure(group: Group, sizes: readonly number[]): Promise<Slope[]> {
  switch (group) {
    case Group.Ledger:
      return Promise.resolve(byDocumentSize());
    case Group.Nodes:
      return byNodes(sizes);
    case Group.Runners:
      return byRunners([1, 60, 240]);
    case Group.Workspaces:
      return byWorkspaces([10, 1_000, 10_000]);
    case Group.Changes:
      return byChanges([6, 30, 60]);
    case Group.Claims:
      return byKeyedRequests();
    case Group.Decision:
      return byDecision();
  }
}

function printTable(slopes: readonly Slope[]): void {
  for (const slope of slopes) {
    const {name, unit, points, atTarget, target, budget} = slope;
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
    choices: Object.values(Group),
    array: true,
    default: Object.values(Group),
    describe: 'groups to measure',
  })
  .option('nodes', {
    type: 'number',
    array: true,
    default: [3, 9, 20, 40],
    describe: 'fleet sizes to measure',
  })
  .strict()
  .parseAsync();

const slopes: Slope[] = [];
for (const group of args.only) {
  slopes.push(...(await measure(group, args.nodes)));
}
if (args.json) process.stdout.write(`${JSON.stringify({slopes})}\n`);
else printTable(slopes);
process.exit(0);
