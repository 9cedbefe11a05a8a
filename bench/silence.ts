import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {runSilences} from './silence/experiment.js';

const args = await yargs(hideBin(process.argv))
  .scriptName('silence')
  .option('program', {
    type: 'string',
    describe: 'program of the instances; by default the one that is built here',
  })
  .option('instances', {type: 'number', default: 9})
  .option('upstreams', {type: 'number', default: 4})
  .option('rate', {
    type: 'number',
    default: 300,
    describe: 'requests a second over all instances',
  })
  .option('silences', {type: 'number', default: 4})
  .option('silence-ms', {type: 'number', default: 1_200})
  .option('logs', {
    type: 'string',
    describe: 'existing folder in which the logs of the instances stay',
  })
  .strict()
  .parse();

const {program, instances, upstreams, rate, silences, silenceMs, logs} = args;
const result = await runSilences({
  instances,
  upstreams,
  rate,
  silences,
  silenceMs,
  ...(program === undefined ? {} : {program}),
  ...(logs === undefined ? {} : {logs}),
});
console.log(JSON.stringify(result));
process.exit(0);
