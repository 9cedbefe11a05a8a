import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {SchedulingPolicy} from '../src/admission/index.js';
import {Deployment} from './deployment.js';
import {runPolicy, type PolicyRun, type RunSpec} from './policy-run.js';
import {describeRun} from './run-summary.js';

/** What `--json` prints. */
interface Report {
  deployment: Deployment;
  seed: number;
  load: number;
  current?: PolicyRun['figures'];
  baseline?: PolicyRun['figures'];
}

const ROUTERS_LIMIT = 9;

const args = await yargs(hideBin(process.argv))
  .scriptName('npm run bench --')
  .usage('$0 --deployment NAME [options]\n\nMeasures decisions under load.')
  .option('deployment', {
    choices: Object.values(Deployment),
    demandOption: true,
  })
  .option('seed', {type: 'number', default: 1})
  .option('seconds', {type: 'number', default: 60})
  .option('load', {
    type: 'number',
    default: 1,
    describe: 'Offered load as a share of capacity; see docs/MIX.md.',
  })
  .option('policy', {choices: Object.values(SchedulingPolicy)})
  .option('routers', {type: 'number', default: 3})
  .option('json', {type: 'boolean', default: false})
  .option('detail', {
    type: 'boolean',
    default: false,
    describe: 'Prints figures by class to standard error.',
  })
  .check(({routers, seconds, load}) => {
    const fits = routers >= 1 && routers <= ROUTERS_LIMIT;
    return (fits && seconds > 0 && load > 0) || 'routers must be 1 to 9';
  })
  .strict()
  .parseAsync();

const spec: Omit<RunSpec, 'policy'> = {
  deployment: args.deployment,
  seed: args.seed,
  seconds: args.seconds,
  load: args.load,
  routers: args.routers,
};
const report: Report = {
  deployment: args.deployment,
  seed: args.seed,
  load: args.load,
};
const policies =
  args.policy === undefined
    ? [SchedulingPolicy.Current, SchedulingPolicy.Baseline]
    : [args.policy];
for (const policy of policies) {
  const run = await runPolicy({...spec, policy});
  report[policy] = run.figures;
  if (args.detail || !args.json) {
    process.stderr.write(describeRun(policy, run));
  }
}
if (args.json) process.stdout.write(`${JSON.stringify(report)}\n`);
process.exit(0);
