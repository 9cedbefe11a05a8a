import {describe, expect, it} from 'vitest';
import {
  SimulatedFleet,
  type SimulatedInstance,
} from '../bench/fleet/simulatedfleet.js';
import {StoreState} from '../bench/fleet/simulatedstore.js';
import {HoldState} from '../src/quarantine/index.js';
import {Topic} from '../src/registry/index.js';

/** Time from a decision until it is in force everywhere, in ms. */
const IN_FORCE_MS = 4_000;
const SIZES = [7, 82, 195];
/** Time until all instances have read the list of the others, in ms. */
const SETTLE_MS = 12_000;

async function startFleet(
  instances: number,
  seed = 1,
  loss = 0.05,
): Promise<SimulatedFleet> {
  const fleet = new SimulatedFleet({
    instances,
    seed,
    loss,
    upstreams: 12,
    configurationBytes: 4_000,
  });
  await fleet.start(SETTLE_MS);
  return fleet;
}

function pick(fleet: SimulatedFleet): SimulatedInstance {
  return fleet.random.pick(fleet.instances.filter(({isAlive}) => isAlive));
}

/** Names of the living instances without a decision on the part. */
function lacking(
  fleet: SimulatedFleet,
  part: string,
  state = HoldState.Held,
): string[] {
  return fleet.instances
    .filter(({isAlive}) => isAlive)
    .filter(({quarantine}) => quarantine.holdOf(part)?.state !== state)
    .map(({place}) => place.name);
}

describe('evidence of crashing prompt parts', () => {
  for (const size of SIZES) {
    it(`is known to ${size} instances in well under 1.5 s`, async () => {
      const fleet = await startFleet(size);
      const puts = fleet.store.calls.puts;
      pick(fleet).quarantine.crash('i-1', ['part']);
      await fleet.advance(2_000);
      const decidedAt = fleet.base.now();
      pick(fleet).quarantine.crash('i-2', ['part']);
      await fleet.advance(8_000);
      const delays = fleet.instances.map(
        ({quarantine}) =>
          (quarantine.knownAt.get('part') ?? Infinity) - decidedAt,
      );
      expect(Math.max(...delays)).toBeLessThan(1_500);
      expect(fleet.store.calls.puts - puts).toBeLessThanOrEqual(4);
    }, 60_000);
  }

  it('survives the restart of all instances', async () => {
    const fleet = await startFleet(9);
    pick(fleet).quarantine.set('part', HoldState.Held);
    await fleet.advance(IN_FORCE_MS);
    for (const instance of [...fleet.instances]) fleet.restart(instance);
    await fleet.advance(IN_FORCE_MS);
    expect(lacking(fleet, 'part')).toEqual([]);
  });

  it('is told the other region after a cut', async () => {
    const fleet = await startFleet(24);
    fleet.network.isCut = true;
    const far = fleet.instances.filter(
      ({place}) => place.region === 'region-2',
    );
    for (const instance of far) instance.storeState = StoreState.Silent;
    await fleet.advance(2_000);
    far[0]?.quarantine.set('far', HoldState.Held);
    fleet.instances[0]?.quarantine.set('near', HoldState.Held);
    await fleet.advance(4_000);
    expect([
      lacking(fleet, 'far').length,
      lacking(fleet, 'near').length,
    ]).toEqual([12, 12]);
    fleet.network.isCut = false;
    for (const instance of far) instance.storeState = StoreState.Serves;
    await fleet.advance(IN_FORCE_MS);
    expect([lacking(fleet, 'far'), lacking(fleet, 'near')]).toEqual([[], []]);
  });

  it('is written again after the store returned from an older copy', async () => {
    const fleet = await startFleet(82);
    pick(fleet).quarantine.set('part', HoldState.Held);
    await fleet.advance(IN_FORCE_MS);
    const holds = () =>
      fleet.store
        .newest(Topic.Instances)
        .filter(({key}) => key.startsWith('hold/')).length;
    expect(holds()).toBe(1);
    fleet.store.leave(StoreState.Refuses);
    fleet.store.returnFromCopy(5_000);
    expect(holds()).toBe(0);
    await fleet.advance(IN_FORCE_MS);
    expect(holds()).toBe(1);
  });
});
