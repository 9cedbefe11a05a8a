import {expect, test} from 'vitest';
import type {FleetSpec} from '../../bench/fleet/fleetspec.js';

/** Instances of the largest fleet in which each sends to all others. */
const MAX_DIRECT = 13;
/**
 * Steps for each instance a second of virtual time: three for each of 15
 * messages (its arrival, that of its answer, its time-out), and 15 of the
 * instance's own timers.
 */
const STEPS_PER_SECOND = 60;
/** Most processor time of a simulation, in ms. */
const PROCESSOR_MS = 60_000;
/** Time after which a simulation counts as hanging, in ms. */
const HANG_MS = 300_000;

/** Size of a fleet, and the steps that it may take. */
export function fleetOf(
  instances: number,
): Required<Pick<FleetSpec, 'instances' | 'stepsPerSecond'>> {
  const stepsPerSecond = instances > MAX_DIRECT ? STEPS_PER_SECOND : Infinity;
  return {instances, stepsPerSecond};
}

/** A test whose limit is its own processor time, whatever else runs. */
export function testSimulation(
  name: string,
  simulate: () => Promise<void>,
): void {
  test(
    name,
    async () => {
      const startedAt = performance.now();
      const before = process.cpuUsage();
      await simulate();
      const {user, system} = process.cpuUsage(before);
      const elapsedMs = Math.round(performance.now() - startedAt);
      expect(
        (user + system) / 1_000,
        `processor time in ms, of ${elapsedMs} ms that passed`,
      ).toBeLessThan(PROCESSOR_MS);
    },
    HANG_MS,
  );
}
