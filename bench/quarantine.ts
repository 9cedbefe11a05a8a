import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {
  runScenario,
  type Outcome,
  type PolicyFactory,
  type Scenario,
} from './quarantine/model.js';
import {createPolicy, Way} from './quarantine/policies.js';
import {scenarios} from './quarantine/scenarios.js';

function quantile(values: number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.ceil(share * sorted.length) - 1] ?? NaN;
}

function summary(scenario: Scenario, outcomes: Outcome[]): string {
  const count = (matches: (outcome: Outcome) => boolean) =>
    outcomes.filter(matches).length;
  const soundHeld = count(({soundHeld}) => soundHeld.size > 0);
  if (scenario.bad.length === 0) return `– | – | – | – | ${soundHeld} | –`;
  const crashes = outcomes.map(outcome => outcome.crashesUntilHeld);
  return [
    `${quantile(crashes, 0.5)} / ${quantile(crashes, 0.9)}`,
    (
      quantile(
        outcomes.map(outcome => outcome.heldAfterMs ?? Infinity),
        0.9,
      ) / 1000
    ).toFixed(1),
    count(outcome => outcome.heldAfterMs === undefined),
    count(outcome => outcome.late > 3),
    soundHeld,
    count(outcome => outcome.soundShare < 0.5),
  ].join(' | ');
}

const options = await yargs(hideBin(process.argv))
  .option('seeds', {type: 'number', default: 20, describe: 'Runs of each'})
  .option('upstreams', {type: 'number', array: true, default: [6, 30]})
  .option('scenario', {type: 'string', default: '', describe: 'Part of a name'})
  .option('way', {choices: Object.values(Way), array: true})
  .strict()
  .parseAsync();
const columns = [
  'Scenario',
  'Upstreams',
  'Way',
  'Crashes until held, median / 9 of 10',
  'Held after, 9 of 10 (s)',
  'Never held',
  'Budget broken',
  'Sound part held',
  'Sound lost',
];
console.log(`| ${columns.join(' | ')} |`);
console.log(`| ${columns.map(() => '---').join(' | ')} |`);
for (const upstreams of options.upstreams) {
  for (const scenario of scenarios(upstreams)) {
    if (!scenario.name.includes(options.scenario)) continue;
    for (const way of options.way ?? Object.values(Way)) {
      const outcomes: Outcome[] = [];
      for (let seed = 1; seed <= options.seeds; seed++) {
        const create: PolicyFactory = (...instance) =>
          createPolicy(way, ...instance);
        outcomes.push(await runScenario(scenario, seed, create));
      }
      const results = summary(scenario, outcomes);
      console.log(`| ${scenario.name} | ${upstreams} | ${way} | ${results} |`);
    }
  }
}
