import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {
  runScenario,
  type Killer,
  type Outcome,
  type Scenario,
} from './quarantine/model.js';
import type {Timer} from '../src/timer/index.js';
import {createPolicy, Way} from './quarantine/policies.js';

const names = (count: number) =>
  Array.from({length: count}, (_, index) => `bad-${index}`);

const single = [['bad-0']];

function killShare(share: number, spreadMs: number, delayMs = 1000) {
  return ({at, random, upstreams}: Killer) => {
    for (let index = 0; index < share * upstreams; index++) {
      at(delayMs + random.between(0, spreadMs), index);
    }
  };
}

function killAtRandom({at, random, upstreams}: Killer): void {
  for (let count = 0; count < 2 * upstreams; count++) {
    at(random.between(0, 40_000), Math.floor(random.next() * upstreams));
  }
}

function killInTurn({at, upstreams}: Killer): void {
  for (let count = 0; count < 40; count++) at(1000 * count, count % upstreams);
}

function killOne({at}: Killer): void {
  for (let count = 0; count < 80; count++) at(500 * count, 0);
}

function scenarios(upstreams: number): Scenario[] {
  const base = {upstreams, bad: single, badRate: 1};
  const innocent = {upstreams, bad: [], badRate: 0};
  return [
    {...base, name: 'bad part, 0.3 a second', badRate: 0.3},
    {...base, name: 'bad part, 1 a second'},
    {...base, name: 'bad part, 5 a second', badRate: 5},
    {...base, name: 'turned bad', wasGood: true},
    {...base, name: 'turned bad, 5 a second', wasGood: true, badRate: 5},
    {...base, name: 'bad first part', isFirst: true},
    {...base, name: 'bad first part, 5 a second', isFirst: true, badRate: 5},
    {...base, name: 'bad part, restarted instance', restarts: 1, badRate: 2},
    {...base, name: 'bad part, restarted fleet', restarts: 7, badRate: 2},
    {...base, name: 'sound part beside the bad', companion: 'companion'},
    {...base, name: 'two bad parts together', bad: [['bad-0', 'bad-1']]},
    {...base, name: 'ten bad parts', bad: names(10).map(name => [name])},
    {
      ...base,
      name: 'bad part and random ends',
      kill: killAtRandom,
    },
    {...innocent, name: 'random ends', kill: killAtRandom},
    {...innocent, name: 'rack ends', kill: killShare(1 / 3, 100)},
    {...innocent, name: 'all end at once', kill: killShare(1, 100)},
    {...innocent, name: 'all end in 2 s', kill: killShare(1, 2000)},
    {...innocent, name: 'one after another', kill: killInTurn},
    {
      ...innocent,
      name: 'restarted fleet, all end in 2 s',
      restarts: 7,
      kill: killShare(1, 2000),
    },
    {...innocent, name: 'one bad machine', kill: killOne},
    {
      ...innocent,
      name: 'new first part, all end in 2 s',
      newFirst: 'new',
      kill: killShare(1, 2000, 0),
    },
    {
      ...innocent,
      name: 'new first part, rack ends',
      newFirst: 'new',
      kill: killShare(1 / 2, 1500, 0),
    },
  ];
}

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
        const create = (timer: Timer) => createPolicy(way, timer);
        outcomes.push(await runScenario(scenario, seed, create));
      }
      if (process.env.DBG)
        console.error(
          scenario.name,
          way,
          outcomes
            .map(o => [...o.soundHeld].join(',') + '#' + o.crashesUntilHeld)
            .join(' ; '),
        );
      const results = summary(scenario, outcomes);
      console.log(`| ${scenario.name} | ${upstreams} | ${way} | ${results} |`);
    }
  }
}
