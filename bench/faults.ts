import {writeFileSync} from 'node:fs';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {checkAll, PromiseKind, type Violation} from './checker/index.js';
import {Cluster} from './cluster.js';
import {Deployment, exampleOf} from './deployment.js';
import {emptyHistory, FaultKind, type History} from './history.js';
import {Injector} from './injector.js';
import {Load} from './load.js';
import {Random} from './random.js';
import {planFaults} from './schedule.js';

const ROUTERS = 3;
const CALLERS = 16;
const TRACE_ENTRIES = 8;

/** The result of a run, as it is printed. */
interface Summary {
  seed: number;
  operations: number;
  faults: Record<string, number>;
  violations: Record<string, number>;
  unknownShare: number;
  availability: Record<string, number>;
}

async function run(
  seed: number,
  seconds: number,
  deployment: Deployment,
  callers: number,
): Promise<History> {
  const random = new Random(seed);
  const history = emptyHistory();
  const cluster = await Cluster.start({
    document: exampleOf(deployment),
    routers: ROUTERS,
    random: random.next,
    logBehaviour: {seed},
    behaviourOf: (_name, kind) =>
      kind === 'service' ? {delayMs: 20, seed} : {stepMs: 4, seed},
  });
  const injector = await Injector.open(cluster, history);
  const plan = planFaults(random, seconds * 1_000);
  const load = new Load(
    exampleOf(deployment),
    injector.stations,
    history,
    random,
  );
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
      Object.values(PromiseKind),
      violations,
      ({promise}) => promise,
    ),
    unknownShare: share(unknown.length, operations.length),
    availability: availabilityOf(history),
  };
}

/** Share of calls of each class that completed, of those not given up. */
function availabilityOf({operations}: History): Record<string, number> {
  const patient = operations.filter(({gaveUp}) => !gaveUp);
  const classes = [...new Set(patient.map(operation => operation.class))];
  return Object.fromEntries(
    classes.sort().map(name => {
      const calls = patient.filter(operation => operation.class === name);
      const completed = calls.filter(
        ({reply}) => reply?.outcome === 'completed',
      );
      return [name, share(completed.length, calls.length)];
    }),
  );
}

function share(part: number, whole: number): number {
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

function printPlain(summary: Summary, violations: readonly Violation[]): void {
  const lines = [
    `seed ${summary.seed}: ${summary.operations} operations`,
    `faults: ${JSON.stringify(summary.faults)}`,
    `unknown share: ${summary.unknownShare}`,
    `availability: ${JSON.stringify(summary.availability)}`,
    ...Object.entries(summary.violations).map(
      ([promise, count]) => `${promise}: ${count} violations`,
    ),
  ];
  for (const {promise, message, trace} of violations) {
    lines.push(`VIOLATION of ${promise}: ${message}`);
    for (const entry of trace.slice(0, TRACE_ENTRIES)) {
      lines.push(`  ${JSON.stringify(entry)}`);
    }
  }
  process.stdout.write(`${lines.join('\n')}\n`);
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

const args = await yargs(hideBin(process.argv))
  .scriptName('faults')
  .option('seed', {type: 'number', default: 1})
  .option('seconds', {type: 'number', default: 30})
  .option('deployment', {
    choices: Object.values(Deployment),
    default: Deployment.Nilecoil,
  })
  .option('callers', {type: 'number', default: CALLERS})
  .option('json', {type: 'boolean', default: false})
  .option('history', {
    type: 'string',
    describe: 'file to write the whole history to',
  })
  .strict()
  .parseAsync();

const history = await run(
  args.seed,
  args.seconds,
  args.deployment,
  args.callers,
);
if (args.history !== undefined) {
  writeFileSync(args.history, JSON.stringify(history));
}
const violations = checkAll(history);
const summary = summarize(args.seed, history, violations);
printPlain(summary, violations);
if (args.json) process.stdout.write(`${JSON.stringify(summary)}\n`);
process.exit(violations.length > 0 ? 1 : 0);
