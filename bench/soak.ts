import {resolve} from 'node:path';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {runSoak} from './soak/soak.js';

const args = await yargs(hideBin(process.argv))
  .scriptName('soak')
  .option('seed', {type: 'number', default: 1})
  .option('seconds', {
    type: 'number',
    default: 60,
    describe: 'length of the time with faults',
  })
  .option('instances', {type: 'number', default: 3})
  .option('crashing-parts', {
    choices: [0, 1, 2, 3] as const,
    describe: 'prompt parts that crash upstreams; by default by the seed',
  })
  .option('crashing-requests', {
    type: 'number',
    default: 0,
    describe: 'plain requests that crash upstreams',
  })
  .option('declared-limits', {
    type: 'number',
    default: 0,
    describe: 'share of the upstreams that declare a rate, 0 to 1',
  })
  .option('software-versions', {
    choices: [1, 2, 3] as const,
    describe: 'software versions of the upstreams; by default by the seed',
  })
  .option('rare-faults', {
    type: 'boolean',
    default: false,
    describe:
      'entries of other writers, ends of all processes at once, answers ' +
      'without a length',
  })
  .option('orderly-ends', {
    type: 'boolean',
    default: false,
    describe:
      'connections of upstreams that end in order in the middle of answers, ' +
      'answers without a length',
  })
  .option('record-faults', {
    type: 'boolean',
    default: false,
    describe:
      'stalls and ends of all processes at once, a store that refuses to write',
  })
  .option('endless-share', {
    type: 'number',
    default: 0,
    describe: 'share of the upstreams that send bytes without end at times',
  })
  .option('crash-kills', {
    type: 'boolean',
    default: false,
    describe: 'kills of instances shortly after crashes by prompt parts',
  })
  .option('stream-upstreams', {
    type: 'number',
    default: 3,
    describe: 'upstreams of streams, if they have one software version',
  })
  .option('regions', {
    choices: [1, 2] as const,
    default: 1 as const,
    describe: 'regions of instances and upstreams: one zone, or two and one',
  })
  .option('program', {
    type: 'string',
    describe: 'file of the program to run, as of an earlier build',
  })
  .option('json', {type: 'boolean', default: false})
  .strict()
  .parseAsync();

const {crashingParts, softwareVersions, program} = args;
const options = {
  ...args,
  ...(crashingParts === undefined ? {} : {crashingParts}),
  ...(softwareVersions === undefined ? {} : {softwareVersions}),
  ...(program === undefined ? {} : {program: resolve(program)}),
};
const result = await runSoak(options, lines => {
  process.stdout.write(`${lines.join('\n')}\n`);
});
const {violations, touched, stalls, folder, ...counts} = result;
process.stdout.write(
  `${JSON.stringify(counts)}\n` +
    `${violations.length} violations, ${touched.length} touched by stalls of ` +
    `the soak itself (${stalls.length} stalls)\n`,
);
if (violations.length > 0) process.stdout.write(`logs: ${folder}\n`);
if (args.json) process.stdout.write(`${JSON.stringify(result)}\n`);
process.exit(violations.length > 0 ? 1 : 0);
