import {writeFileSync} from 'node:fs';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {checkAll, Guarantee, type Violation} from './checker/index.js';
import {Deployment} from './deployment.js';
import {DEFAULT_CALLERS, runFaults} from './faultrun.js';
import {FaultKind, type History} from './history.js';

const MAX_TRACE_ENTRIES = 8;

/** Printed result of a run: counts by kind, and shares from 0 to 1. */
interface Summary {
  seed: number;
  operations: number;
  faults: Record<string, number>;
  violations: Record<string, number>;
  unknownShare: number;
  availability: Record<string, number>;
}

function summarize(
  seed: number,
  history: History,
  violations: readonly Violation[],
): Summary {
  const {operations, faults} = history;
  const unknown = operations.filter(
    ({reply}) => reply?.outcome === undefined || reply.outcome === 'unknown',
  );
  return {
    seed,
    operations: operations.length,
    faults: countBy(Object.values(FaultKind), faults, ({kind}) => kind),
    violations: countBy(
      Object.values(Guarantee),
      violations,
      ({guarantee: promise}) => promise,
    ),
    unknownShare: roundedShare(unknown.length, operations.length),
    availability: availabilityOf(history),
  };
}

/**
 * Returns the share of calls that completed, by class. Calls on which the
 * caller gave up don't count.
 */
function availabilityOf({operations}: History): Record<string, number> {
  const awaited = operations.filter(({gaveUp}) => !gaveUp);
  const classes = [...new Set(awaited.map(operation => operation.class))];
  return Object.fromEntries(
    classes.sort().map(name => {
      const calls = awaited.filter(operation => operation.class === name);
      const completed = calls.filter(
        ({reply}) => reply?.outcome === 'completed',
      );
      return [name, roundedShare(completed.length, calls.length)];
    }),
  );
}

/** Returns `part / whole` to four decimals, or 0 if `whole` is 0. */
function roundedShare(part: number, whole: number): number {
  return whole === 0 ? 0 : Math.round((part / whole) * 10_000) / 10_000;
}

function countBy<Item>(
  names: readonly string[],
  items: readonly Item[],
  nameOf: (item: Item) => string,
): Record<string, number> {
  const counts = Object.fromEntries(names.map(name => [name, 0]));
  for (const item of items) {
    const name = nameOf(item);
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}

function printSummary(
  summary: Summary,
  violations: readonly Violation[],
): void {
  const lines = [
    `seed ${summary.seed}: ${summary.operations} operations`,
    `faults: ${JSON.stringify(summary.faults)}`,
    `unknown share: ${summary.unknownShare}`,
    `availability: ${JSON.stringify(summary.availability)}`,
    ...Object.entries(summary.violations).map(
      ([promise, count]) => `${promise}: ${count} violations`,
    ),
  ];
  for (const {guarantee: promise, message, trace} of violations) {
    lines.push(`VIOLATION of ${promise}: ${message}`);
    for (const entry of trace.slice(0, MAX_TRACE_ENTRIES)) {
      lines.push(`  ${JSON.stringify(entry)}`);
    }
  }
  process.stdout.write(`${lines.join('\n')}\n`);
}

const args = await yargs(hideBin(process.argv))
  .scriptName('faults')
  .option('seed', {type: 'number', default: 1})
  .option('seconds', {type: 'number', default: 30})
  .option('deployment', {
    choices: Object.values(Deployment),
    default: Deployment.Nilecoil,
  })
  .option('callers', {type: 'number', default: DEFAULT_CALLERS})
  .option('json', {type: 'boolean', default: false})
  .option('history', {
    type: 'string',
    describe: 'file to which the history of the run is written as JSON',
  })
  .strict()
  .parseAsync();

const history = await runFaults(args);
if (args.history !== undefined) {
  writeFileSync(args.history, JSON.stringify(history));
}
const violations = checkAll(history);
const summary = summarize(args.seed, history, violations);
printSummary(summary, violations);
if (args.json) process.stdout.write(`${JSON.stringify(summary)}\n`);
process.exit(violations.length > 0 ? 1 : 0);
