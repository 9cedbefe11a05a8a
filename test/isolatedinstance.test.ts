import {afterEach, describe, expect, test} from 'vitest';
import {Cut, SeverableFleet} from './support/isolatedinstances.js';

/** Load before a cut, so that connections to all upstreams are kept. */
const BEFORE_MS = 400;
/** Time after the beginning of a cut from which callers must be served, in ms. */
const DETECTION_MS = 1_000;
const JUDGED_MS = 1_500;
/** Time between two first tries, in ms; short, so that new connections are needed. */
const BUSY_PERIOD_MS = 10;
/** Share of first tries that must be served at isolated instances. */
const MIN_SERVED_SHARE = 0.95;

let fleet: SeverableFleet;
afterEach(() => fleet.close());

/** Share of first tries at an instance that are served while it is isolated. */
async function servedShareIsolated(cut: Cut): Promise<number> {
  await fleet.load(0, BEFORE_MS);
  fleet.isolate(0, cut);
  await fleet.load(0, DETECTION_MS, BUSY_PERIOD_MS);
  const {served, sent} = await fleet.load(0, JUDGED_MS, BUSY_PERIOD_MS);
  return served / sent;
}

describe('callers of an instance that reaches no upstream are served', () => {
  test.each(Object.values(Cut))('when the cut is %s', async cut => {
    fleet = await SeverableFleet.open(['zone-a', 'zone-a', 'zone-b']);
    expect(await servedShareIsolated(cut)).toBeGreaterThanOrEqual(
      MIN_SERVED_SHARE,
    );
    expect(fleet.mostRuns()).toBe(1);
  });
});
