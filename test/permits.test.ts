import {describe, expect, test} from 'vitest';
import {InstanceFault, runDeclaredLimit} from '../bench/fleet/declaredlimit.js';

const defaults = {
  seconds: 12,
  busyShare: 0.5,
  requestsPerSecond: 30,
  rates: [1, 10] as Array<number | undefined>,
  faults: [] as InstanceFault[],
  loss: 0.01,
};
const SEEDS = [1, 2, 3, 4];

describe('a fleet before upstreams that declare rates', () => {
  test.each(Object.values(InstanceFault))(
    'has no two issuers after a %s of instances',
    async fault => {
      const beyond: unknown[] = [];
      for (const seed of SEEDS) {
        const {upstreams} = await runDeclaredLimit({
          ...defaults,
          instances: 7,
          rates: [0.2, 1, 10, 50],
          requestsPerSecond: 100,
          faults: [fault],
          seed,
        });
        for (const {perSecond, most, aim} of upstreams) {
          if (most > aim) beyond.push({seed, perSecond, most, aim});
        }
      }
      expect(beyond).toEqual([]);
    },
    60_000,
  );

  test('sends no more than these with 82 instances and all faults', async () => {
    const {upstreams} = await runDeclaredLimit({
      ...defaults,
      instances: 82,
      faults: Object.values(InstanceFault),
      seed: 4,
    });
    expect(upstreams.filter(({most, allowed}) => most > allowed)).toEqual([]);
  }, 60_000);

  test('uses most of a rate while requests wait, the most urgent first', async () => {
    const {upstreams, servedByTier} = await runDeclaredLimit({
      ...defaults,
      instances: 7,
      seed: 5,
    });
    expect(upstreams.map(({used}) => used >= 0.9)).toEqual([true, true]);
    const [first = 0, second = 0, third = 0] = servedByTier;
    expect(first).toBeGreaterThan(0.9);
    expect(second).toBeLessThan(first / 2);
    expect(third).toBeLessThan(second);
  }, 60_000);

  test('sends requests elsewhere where upstreams declare no rate', async () => {
    const {upstreams, refused} = await runDeclaredLimit({
      ...defaults,
      instances: 7,
      rates: [1, 10, undefined],
      seed: 6,
    });
    expect(upstreams.filter(({most, aim}) => most > aim)).toEqual([]);
    expect(refused).toBe(0);
  }, 60_000);
});
