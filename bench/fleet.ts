import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {runDrills, type DrillFigures} from './fleet/drills.js';
import {
  FleetFault,
  runExperiment,
  type ExperimentFigures,
} from './fleet/experiment.js';
import {runStreamOrigins} from './fleet/streamorigins.js';

const args = await yargs(hideBin(process.argv))
  .scriptName('npm run fleet --')
  .usage(
    '$0\n\nRuns fleets of gateways in virtual time, against a simulated store ' +
      'and network, and prints how soon records are in force and what the ' +
      'fleet costs.',
  )
  .option('instances', {
    type: 'number',
    array: true,
    default: [30, 100, 340],
    describe: 'Sizes of the fleets, one run each',
  })
  .option('upstreams', {
    type: 'number',
    default: 100,
    describe: 'Upstreams that write entries',
  })
  .option('seconds', {
    type: 'number',
    default: 20,
    describe: 'Measured time of a run, in s',
  })
  .option('seed', {type: 'number', default: 1, describe: 'Seed of the runs'})
  .option('loss', {
    type: 'number',
    default: 0.01,
    describe: 'Share of messages that are lost',
  })
  .option('faults', {
    choices: Object.values(FleetFault),
    array: true,
    default: [] as FleetFault[],
    describe: 'Faults to inject, every 4 s a random one of them',
  })
  .option('drills', {
    type: 'number',
    describe:
      'Instead, run so many drills of the seed, in which the store returns ' +
      'from an older copy, and count those that break an invariant',
  })
  .option('streams', {
    type: 'number',
    describe:
      'Instead, begin so many streams a second at two software versions, end ' +
      'the instances of --lost, and take their streams up at others',
  })
  .option('lost', {
    type: 'number',
    default: 0.34,
    describe: 'Share of the instances that end in a run with --streams',
  })
  .option('seconds-alone', {
    type: 'number',
    default: 0,
    describe:
      'Time in s for which one software version serves first, with --streams',
  })
  .option('json', {
    type: 'boolean',
    default: false,
    describe: 'Print one line of JSON for each run',
  })
  .check(({drills = 1}) => {
    const isCount = Number.isInteger(drills) && drills > 0;
    return isCount || '--drills needs a whole number above 0';
  })
  .strict()
  .parseAsync();

function printFigures(figures: ExperimentFigures): void {
  const {inForceMs, loadAgeMs} = figures;
  const lines = Object.entries(inForceMs).map(
    ([topic, {p50, p99, worst}]) =>
      `  ${topic} in force after ${p50} ms, p99 ${p99}, worst ${worst}`,
  );
  process.stdout.write(
    `${figures.instances} instances\n${lines.join('\n')}\n` +
      `  loads known are ${loadAgeMs.p50} ms old, p99 ${loadAgeMs.p99}\n` +
      `  calls to the store: ${figures.callsPerSecond} a second in all, ` +
      `${figures.startCalls} to start\n` +
      `  each instance sends ${figures.messagesPerSecond} messages and ` +
      `${figures.bytesPerSecond} B a second, ` +
      `${figures.regionBytesPerSecond} B of them to another region\n` +
      `  configurations that went back: ${figures.regressions}\n` +
      problemsOf(figures)
        .map(line => `  ${line}\n`)
        .join(''),
  );
}

function problemsOf(figures: ExperimentFigures): string[] {
  const {overdue, forgotten, disagreements} = figures;
  return [
    ...overdue.map(line => `OVERDUE ${line}`),
    ...forgotten.map(line => `FORGOTTEN ${line}`),
    ...disagreements.map(line => `DIFFERS ${line}`),
  ];
}

function printDrills({seed, drills, failed, ...figures}: DrillFigures): void {
  const share = ((100 * failed) / drills).toFixed(2);
  process.stdout.write(
    `seed ${seed}: ${failed} of ${drills} fail, ${share} %\n`,
  );
  for (const [name, count] of Object.entries(figures.classes)) {
    process.stdout.write(`  ${name}: ${count}\n`);
  }
  for (const {path, instances, problems} of figures.failures) {
    process.stdout.write(
      `  path ${path}, ${instances} instances: ${problems[0] ?? ''}\n`,
    );
  }
}

if (args.drills !== undefined) {
  const figures = await runDrills(args.drills, args.seed);
  if (args.json) process.stdout.write(`${JSON.stringify(figures)}\n`);
  else printDrills(figures);
  process.exit(figures.failed === 0 ? 0 : 1);
}

if (args.streams !== undefined) {
  const {streams: streamsPerSecond, seconds, seed, loss, lost} = args;
  for (const instances of args.instances) {
    const figures = await runStreamOrigins({
      ...{instances, streamsPerSecond, seconds, seed, loss, lost},
      secondsAlone: args.secondsAlone,
    });
    process.stdout.write(`${JSON.stringify(figures)}\n`);
    if (figures.wrong > 0) process.exitCode = 1;
  }
  process.exit();
}

for (const instances of args.instances) {
  const {upstreams, seconds, seed, loss, faults} = args;
  const figures = await runExperiment({
    instances,
    upstreams,
    seconds,
    seed,
    loss,
    faults,
  });
  if (args.json) process.stdout.write(`${JSON.stringify(figures)}\n`);
  else printFigures(figures);
  if (problemsOf(figures).length > 0 || figures.regressions > 0) {
    process.exitCode = 1;
  }
}
