import {afterEach, describe, expect, test} from 'vitest';
import {LogEvent} from '../src/telemetry/index.js';
import {Cut, SeverableFleet} from './support/isolatedinstances.js';

const ZONES = ['zone-a', 'zone-a', 'zone-a', 'zone-b', 'zone-b'];
const ISOLATED = [0, 1, 2];
const OTHERS = [3, 4];
/** Load before a cut, so that connections to all upstreams are kept. */
const BEFORE_MS = 400;
/** Time after the beginning of a cut from which callers must be served, in ms. */
const DETECTION_MS = 1_000;
const JUDGED_MS = 2_000;
/** Time between two first tries at each instance, in ms. */
const PERIOD_MS = 60;
/** Share of first tries that must be served with a whole zone isolated. */
const MIN_SERVED_SHARE = 0.8;

let fleet: SeverableFleet;
afterEach(() => fleet.close());

function loadAll(instances: readonly number[], forMs: number) {
  return Promise.all(
    instances.map(index => fleet.load(index, forMs, PERIOD_MS)),
  );
}

describe('callers of a zone that reaches no upstream are served', () => {
  test.each(Object.values(Cut))('when the cut is %s', async cut => {
    fleet = await SeverableFleet.open(ZONES);
    await loadAll([...ISOLATED, ...OTHERS], BEFORE_MS);
    for (const index of ISOLATED) fleet.isolate(index, cut);
    const others = loadAll(OTHERS, DETECTION_MS + JUDGED_MS);
    await loadAll(ISOLATED, DETECTION_MS);
    for (const {served, sent} of await loadAll(ISOLATED, JUDGED_MS)) {
      expect(served / sent).toBeGreaterThanOrEqual(MIN_SERVED_SHARE);
    }
    for (const {failures} of await others) expect(failures).toEqual([]);
    expect(fleet.mostRuns()).toBe(1);
    const crashes = fleet.gateways.flatMap(({logLines}) =>
      logLines.filter(({event}) => event === LogEvent.Crash),
    );
    expect(crashes).toEqual([]);
  });

  test('over cuts that come and go every second', async () => {
    fleet = await SeverableFleet.open(ZONES);
    await loadAll([...ISOLATED, ...OTHERS], BEFORE_MS);
    const cuts = Object.values(Cut);
    const load = loadAll(ISOLATED, 6_000);
    for (let round = 0; round < 3; round++) {
      for (const index of ISOLATED) {
        fleet.isolate(index, cuts[(round + index) % cuts.length] ?? Cut.Reset);
      }
      await new Promise(resolve => setTimeout(resolve, 1_000));
      for (const index of ISOLATED) fleet.heal(index);
      await new Promise(resolve => setTimeout(resolve, 1_000));
    }
    for (const {served, sent} of await load) {
      expect(served / sent).toBeGreaterThanOrEqual(MIN_SERVED_SHARE);
    }
    expect(fleet.mostRuns()).toBe(1);
  });
});
