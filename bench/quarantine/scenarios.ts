import type {Killer, Scenario} from './model.js';

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

/** The scenarios with a number of upstreams. */
export function scenarios(upstreams: number): Scenario[] {
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
