import fc from 'fast-check';
import {beforeEach, describe, expect, it} from 'vitest';
import {runScenario, type PolicyFactory} from '../bench/quarantine/model.js';
import {createPolicy, Way} from '../bench/quarantine/policies.js';
import {scenarios} from '../bench/quarantine/scenarios.js';
import {
  HoldState,
  Quarantine,
  type CrashReport,
  type Evidence,
  type Suspect,
} from '../src/quarantine/index.js';
import {ManualTimer} from '../src/timer/index.js';

const SETTLED_MS = 1000;

let nextId = 0;

/** A request whose answer began some ms before the crash. */
function suspect(parts: string[], openMs = 100): Suspect {
  return {request: `request-${nextId++}`, parts, openMs};
}

function crash(
  at: number,
  suspects: Suspect[],
  upstream = `upstream-${nextId++}`,
): CrashReport {
  const reporter = 'peer';
  return {type: 'crash', upstream, startedAt: 7, reporter, suspects, at};
}

describe('a quarantine', () => {
  let timer: ManualTimer;
  let quarantine: Quarantine;
  let published: Evidence[];

  beforeEach(async () => {
    timer = new ManualTimer();
    quarantine = new Quarantine({timer});
    published = [];
    quarantine.subscribe(evidence => published.push(evidence));
    await timer.advance(60_000);
  });

  const answer = (...parts: string[]) => {
    quarantine.recordAnswer([...parts, `own-${nextId++}`]);
  };
  const held = () =>
    quarantine
      .holds()
      .filter(hold => hold.state === HoldState.Held)
      .map(hold => hold.part)
      .sort();
  /** Crashes with these suspects, and answers to other requests between. */
  const crashInTurn = async (suspects: Suspect[][], answers = 2) => {
    for (const requests of suspects) {
      await timer.advance(300);
      for (let count = 0; count < answers; count++) answer('elsewhere');
      quarantine.learn(crash(timer.now(), requests));
    }
  };
  const badly = (count: number, ...parts: string[]) =>
    Array.from({length: count}, () => [suspect(parts)]);

  it('holds a new part after three crashes and no answered part', async () => {
    answer('hot');
    await crashInTurn(badly(3, 'hot', 'bad'));
    expect(held()).toEqual([]);
    await timer.advance(SETTLED_MS);
    expect(held()).toEqual(['bad']);
    expect(quarantine.holdOf(['hot', 'bad', 'own'])?.crashes).toBe(3);
    expect(quarantine.holdOf(['hot', 'other', 'own'])).toBeUndefined();
    expect(quarantine.holdOf(['hot', 'bad'])).toBeUndefined();
    expect(published.filter(({type}) => type === 'hold')).toHaveLength(1);
  });

  it('counts reports of several instances on one process once', async () => {
    const [request] = [suspect(['bad'])];
    const first = crash(timer.now(), [request], 'one');
    quarantine.learn(first);
    for (const reporter of ['a', 'b', 'c']) {
      const suspects = [suspect(['hot', 'bad'])];
      quarantine.learn({...first, reporter, suspects});
    }
    await timer.advance(SETTLED_MS);
    expect(held()).toEqual([]);
    expect(quarantine.mayRepeat(['hot', 'bad', 'own'])).toBe(true);
  });

  it('spares a new part of the requests that end with a rack', async () => {
    for (let count = 0; count < 9; count++) {
      quarantine.learn(crash(timer.now(), [suspect(['hot', 'new'])]));
      await timer.advance(10);
    }
    await timer.advance(SETTLED_MS);
    expect(held()).toEqual([]);
  });

  it('spares a new part of requests that go from one end to the next', async () => {
    const unlucky = suspect(['hot', 'new']);
    await crashInTurn([[unlucky], [unlucky], [suspect(['hot', 'new'])]], 0);
    for (let count = 0; count < 20; count++) answer('hot');
    await timer.advance(SETTLED_MS);
    expect(held()).toEqual([]);
  });

  it('counts the repeats of one request as one request', async () => {
    const request = suspect(['hot', 'unlucky']);
    await crashInTurn(Array.from({length: 6}, () => [request]));
    await timer.advance(SETTLED_MS);
    expect(held()).toEqual([]);
    expect(quarantine.mayRepeat(['hot', 'unlucky', 'own'])).toBe(false);
  });

  it('stops the repeats of a part with two crashes alone', async () => {
    answer('hot');
    await crashInTurn(badly(1, 'hot', 'bad'));
    expect(quarantine.mayRepeat(['hot', 'bad', 'own'])).toBe(true);
    await crashInTurn(badly(1, 'hot', 'bad'));
    expect(quarantine.mayRepeat(['hot', 'bad', 'own'])).toBe(false);
    expect(quarantine.mayRepeat(['hot', 'other', 'own'])).toBe(true);
  });

  it('waits for what peers know of a part', async () => {
    await crashInTurn(badly(3, 'hot', 'known', 'bad'));
    await timer.advance(300);
    quarantine.learn({type: 'clearance', part: 'known', at: timer.now()});
    await timer.advance(SETTLED_MS);
    expect(held()).toEqual(['bad']);
  });

  it('counts anew after an answer', async () => {
    for (let round = 0; round < 5; round++) {
      await crashInTurn(badly(2, 'hot', 'sound'));
      answer('hot', 'sound');
    }
    await timer.advance(SETTLED_MS);
    expect(held()).toEqual([]);
  });

  it('spares the hot part while all upstreams are gone', async () => {
    answer('hot', 'popular');
    await crashInTurn(badly(8, 'hot', 'popular', 'bad'), 0);
    await timer.advance(10_000);
    expect(held()).toEqual(['bad']);
  });

  it('holds a part that turned bad once others are answered', async () => {
    answer('hot', 'turned');
    for (const suspects of badly(5, 'hot', 'turned')) {
      await crashInTurn([suspects]);
      for (let count = 0; count < 3; count++) answer('hot');
    }
    await timer.advance(SETTLED_MS);
    expect(held()).toEqual(['turned']);
  });

  it('holds a new first part and spares it while others end', async () => {
    answer('old');
    await crashInTurn(badly(4, 'new'), 0);
    await timer.advance(SETTLED_MS);
    expect(held()).toEqual([]);
    for (let count = 0; count < 12; count++) answer('old');
    await timer.advance(SETTLED_MS);
    expect(held()).toEqual(['new']);
  });

  it('holds bad parts that only come together', async () => {
    answer('hot');
    await crashInTurn(badly(3, 'hot', 'bad', 'worse'));
    await timer.advance(SETTLED_MS);
    expect(held()).toEqual(['bad', 'worse']);
  });

  it('spares a sound part that only comes with the bad one', async () => {
    answer('hot');
    await crashInTurn([
      ...badly(3, 'hot', 'companion', 'bad'),
      ...badly(1, 'hot', 'bad'),
    ]);
    await timer.advance(SETTLED_MS);
    expect(held()).toEqual(['bad']);
  });

  it('holds ten bad parts at once', async () => {
    answer('hot');
    const parts = Array.from({length: 10}, (_, index) => `bad-${index}`);
    for (let round = 0; round < 5; round++) {
      await crashInTurn(
        parts.map(part => [suspect(['hot', part])]),
        0,
      );
    }
    await timer.advance(SETTLED_MS);
    expect(held()).toEqual([...parts].sort());
  });

  it('spares sound requests that crashes hit by chance', async () => {
    answer('hot');
    await crashInTurn(
      badly(6, 'hot', 'bad').map((requests, index) =>
        index % 2 === 0
          ? [...requests, suspect(['hot', `rare-${index % 4}`])]
          : requests,
      ),
    );
    await timer.advance(SETTLED_MS);
    expect(held()).toEqual(['bad']);
  });

  it('spares what a bad machine is sent', async () => {
    for (let count = 0; count < 4; count++) {
      await timer.advance(2000);
      const report = crash(timer.now(), [suspect(['hot', 'near'])], 'machine');
      quarantine.learn({...report, startedAt: timer.wallNow()});
    }
    await timer.advance(SETTLED_MS);
    expect(held()).toEqual([]);
  });

  it('forgets no hold, and crashes after ten minutes', async () => {
    await crashInTurn(badly(3, 'hot', 'bad'));
    await crashInTurn(badly(2, 'hot', 'other'));
    await timer.advance(700_000);
    await crashInTurn(badly(1, 'hot', 'other'));
    await timer.advance(SETTLED_MS);
    expect(held()).toEqual(['bad']);
    expect(quarantine.suspects()).toEqual([]);
  });

  it('follows the newest order of an operator', async () => {
    await crashInTurn(badly(3, 'hot', 'bad'));
    await timer.advance(SETTLED_MS);
    const [automatic] = quarantine.holds();
    expect(quarantine.release('bad').revision).toBe(2);
    await timer.advance(SETTLED_MS);
    expect(held()).toEqual([]);
    expect(automatic && quarantine.learn(automatic)).toBe(false);
    await crashInTurn(badly(3, 'hot', 'bad'));
    await timer.advance(SETTLED_MS);
    expect(held()).toEqual(['bad']);
    expect(quarantine.hold('other').revision).toBe(1);
    expect(quarantine.holdOf(['other', 'own'])?.crashes).toBe(0);
  });

  it('tries a held part once after a pause that grows', async () => {
    let owns = false;
    quarantine = new Quarantine({timer, ownsTrial: () => owns});
    const prompt = ['hot', 'bad', 'own'];
    await timer.advance(10_000);
    answer('hot');
    await crashInTurn(badly(3, 'hot', 'bad'));
    await timer.advance(SETTLED_MS);
    await timer.advance(600_000);
    expect(quarantine.beginTrial(prompt)).toBe(false);
    owns = true;
    expect(quarantine.beginTrial(['hot', 'own'])).toBe(false);
    expect(quarantine.beginTrial(prompt)).toBe(true);
    expect(quarantine.beginTrial(prompt)).toBe(false);
    quarantine.recordCrash(crash(timer.now(), [suspect(['hot', 'bad'])]));
    expect(quarantine.holdOf(prompt)?.revision).toBe(2);
    await timer.advance(1_100_000);
    expect(quarantine.trialDue('bad')).toBe(false);
    quarantine.recordAnswer(prompt);
    expect(held()).toEqual(['bad']);
    await timer.advance(100_000);
    expect(quarantine.beginTrial(prompt)).toBe(true);
    quarantine.recordAnswer(prompt);
    expect(held()).toEqual([]);
  });

  it('tries no part that an operator holds', async () => {
    quarantine = new Quarantine({timer, ownsTrial: () => true});
    quarantine.hold('bad');
    await timer.advance(100_000_000);
    expect(quarantine.beginTrial(['bad', 'own'])).toBe(false);
    answer('bad');
    expect(held()).toEqual(['bad']);
  });

  it('tells peers of answers to suspects, and not too often', async () => {
    answer('hot');
    await crashInTurn(badly(1, 'hot', 'bad'));
    for (let count = 0; count < 100; count++) {
      answer('hot', 'other');
      await timer.advance(10);
    }
    const cleared = published.filter(({type}) => type === 'clearance');
    expect(
      new Set(cleared.map(evidence => 'part' in evidence && evidence.part)),
    ).toEqual(new Set(['hot']));
    expect(cleared.length).toBeGreaterThanOrEqual(2);
    expect(cleared.length).toBeLessThanOrEqual(4);
  });

  it('tells peers of its own crashes once', () => {
    const report = crash(timer.now(), [suspect(['hot', 'bad'])]);
    expect(quarantine.recordCrash(report)).toBe(true);
    expect(quarantine.recordCrash(report)).toBe(false);
    expect(quarantine.learn(report)).toBe(false);
    expect(published).toEqual([report]);
  });

  it('stays bounded and cheap with many parts and crashes', async () => {
    const startedAt = performance.now();
    for (let index = 0; index < 100_000; index++) {
      answer('hot', `part-${index % 30_000}`, `block-${index % 500}`);
    }
    const perAnswerUs = (performance.now() - startedAt) / 100;
    expect(perAnswerUs).toBeLessThan(50);
    for (let index = 0; index < 600; index++) {
      const parts = ['hot', `part-${index % 100}`];
      await timer.advance(20);
      quarantine.learn(crash(timer.now(), [suspect(parts, 10)]));
    }
    expect(quarantine.suspects().length).toBeLessThanOrEqual(256);
  });

  it('counts a crash once in a sequence, whatever the order of its requests', async () => {
    const base = timer.now();
    const crash = (
      id: number,
      parts: string[],
      upstream: string,
      startedAt: number,
      ms: number,
    ): Evidence => {
      const suspects = [{request: `r${id}`, parts, openMs: 100}];
      const at = base - 5_000 + ms;
      const reporter = 'p';
      return {type: 'crash', upstream, startedAt, reporter, suspects, at};
    };
    const [first, second, third] = [['hot'], ['hot', 'd'], ['hot', 'a', 'd']];
    const reports = [
      crash(0, first, 'u', 2, 0),
      crash(8, second, 'x', 0, 1),
      crash(8, second, 'x', 2, 0),
      crash(8, second, 'u', 0, 1),
      crash(0, first, 'u', 0, 1),
      crash(8, second, 'u', 1, 1),
      crash(0, first, 'u', 3, 0),
      // It began when the report before it on the same process ended.
      crash(9, third, 'x', 2, 100),
    ];
    const holdsAfter = async (evidence: Evidence[]) => {
      const clock = new ManualTimer();
      await clock.advance(base);
      const learner = new Quarantine({timer: clock});
      for (const item of evidence) learner.learn(item);
      await clock.advance(5_000);
      learner.stop();
      return learner.holds().map(({part}) => part);
    };
    expect(await holdsAfter(reports)).toEqual(
      await holdsAfter(reports.toReversed()),
    );
  });

  it('holds the same of parts with as many crashes, whatever the order of requests', () => {
    const base = timer.now();
    const crash = (
      upstream: string,
      startedAt: number,
      at: number,
      id: number,
      parts: string[],
    ): Evidence => {
      const suspects = [{request: `r${id}`, parts, openMs: 100}];
      const reporter = 'p';
      return {type: 'crash', upstream, startedAt, reporter, suspects, at};
    };
    const reports = [
      crash('u', 2, base - 8_000, 4, ['hot', 'c']),
      crash('u', 2, base - 8_000, 10, ['hot', 'b', 'd']),
      crash('w', 0, base - 8_000, 6, ['hot', 'b', 'c']),
      crash('w', 3, base - 8_000, 14, ['hot', 'b', 'c', 'd']),
      crash('u', 0, base - 7_900, 10, ['hot', 'b', 'd']),
      crash('u', 3, base - 7_900, 12, ['hot', 'c', 'd']),
    ];
    const blamedAfter = (evidence: Evidence[]) => {
      const learner = new Quarantine({timer});
      for (const item of evidence) learner.learn(item);
      const parts = learner.suspects().map(({part}) => part);
      learner.stop();
      return parts;
    };
    expect(blamedAfter(reports)).toEqual(['d', 'c']);
    expect(blamedAfter(reports.toReversed())).toEqual(['d', 'c']);
  });

  it('comes to the same holds whatever the order of evidence', async () => {
    const base = timer.now();
    const partsOf = (id: number) =>
      ['a', 'b', 'c', 'd'].filter((_, index) => (id >> index) & 1);
    const report = fc
      .record({
        at: fc.integer({min: base - 8000, max: base}),
        upstream: fc.constantFrom('u', 'v', 'w', 'x'),
        startedAt: fc.constantFrom(0, 1, 2, 3),
        reporter: fc.constantFrom('p', 'q'),
        id: fc.nat(31),
      })
      .map(({id, ...rest}): Evidence => {
        const request = `request-${id}`;
        const parts = ['hot', ...partsOf(id)];
        const suspects = [{request, parts, openMs: 100}];
        return {type: 'crash', ...rest, suspects};
      });
    const clearance = fc
      .record({
        part: fc.constantFrom('hot', 'a', 'b', 'c', 'd'),
        at: fc.integer({min: base - 8000, max: base}),
      })
      .map((fields): Evidence => ({type: 'clearance', ...fields}));
    const hold = fc
      .record({
        part: fc.constantFrom('a', 'b', 'z'),
        state: fc.constantFrom(HoldState.Held, HoldState.Released),
        revision: fc.integer({min: 1, max: 3}),
        crashes: fc.nat(5),
        decidedAt: fc.nat(5),
      })
      .map((fields): Evidence => ({type: 'hold', ...fields}));
    const holdsAfter = async (evidence: Evidence[]) => {
      const clock = new ManualTimer();
      await clock.advance(base);
      const learner = new Quarantine({timer: clock});
      for (const item of evidence) learner.learn(item);
      await clock.advance(5000);
      learner.stop();
      return learner.holds().sort((a, b) => (a.part < b.part ? -1 : 1));
    };
    const all = fc.array(
      fc.oneof({weight: 5, arbitrary: report}, clearance, hold),
      {maxLength: 40},
    );
    const mixed = all.chain(evidence =>
      fc.tuple(
        fc.constant(evidence),
        fc.shuffledSubarray([...evidence, ...evidence], {
          minLength: 2 * evidence.length,
        }),
      ),
    );
    await fc.assert(
      fc.asyncProperty(mixed, async ([evidence, shuffled]) => {
        expect(await holdsAfter(shuffled)).toEqual(await holdsAfter(evidence));
      }),
      {numRuns: 200},
    );
  });
});

describe('the instances of a fleet', () => {
  for (const scenario of [6, 30].flatMap(scenarios)) {
    const title = `${scenario.name}, ${scenario.upstreams} upstreams`;
    it(`decide well: ${title}`, async () => {
      const create: PolicyFactory = (...instance) =>
        createPolicy(Way.Quarantine, ...instance);
      for (const seed of [1, 2, 3]) {
        const outcome = await runScenario(scenario, seed, create);
        if (scenario.bad.length === 0) {
          expect([...outcome.soundHeld]).toEqual([]);
          continue;
        }
        expect(outcome.heldAfterMs).toBeDefined();
        expect(outcome.soundShare).toBeGreaterThan(0.5);
      }
    });
  }
});
