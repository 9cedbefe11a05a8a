import {describe, expect, test} from 'vitest';
import {
  OriginFault,
  runOriginSchedule,
} from '../bench/fleet/originschedules.js';

const SEEDS = Array.from({length: 20}, (_, n) => n + 1);
const SECONDS = 60;
/** Share of streams taken up that go on where nothing but releases happens. */
const MIN_SHARE = 0.9;
const LIMIT_MS = 60_000;

/** Plays a schedule for each seed; returns the sums. */
async function play(instances: number, faults: readonly OriginFault[]) {
  const sums = {takenUp: 0, wentOn: 0, wrongSeeds: [] as number[]};
  for (const seed of SEEDS) {
    const spec = {instances, seed, seconds: SECONDS, faults};
    const {takenUp, wentOn, wrong} = await runOriginSchedule(spec);
    sums.takenUp += takenUp;
    sums.wentOn += wentOn;
    if (wrong > 0) sums.wrongSeeds.push(seed);
  }
  return sums;
}

// Each fault by itself, then all of them together, overlapping.
describe('streams that are taken up among releases', () => {
  const cases = [
    [],
    ...Object.values(OriginFault).map(fault => [fault]),
    [...Object.values(OriginFault)],
  ];
  test.each(
    cases.map(faults => ({what: faults.join(', ') || 'nothing', faults})),
  )(
    'never go on at another software version, as happens: $what',
    async ({faults}) => {
      const {wrongSeeds} = await play(3, faults);
      expect(wrongSeeds).toEqual([]);
    },
    LIMIT_MS,
  );

  test(
    'go on where nothing else happens',
    async () => {
      const {takenUp, wentOn} = await play(3, []);
      expect(wentOn / takenUp).toBeGreaterThanOrEqual(MIN_SHARE);
    },
    LIMIT_MS,
  );
});
