import {expect, test, vi} from 'vitest';
import {Quarantine} from '../src/quarantine/index.js';
import {ManualTimer} from '../src/timer/index.js';

const DECISION_MS = 60;
const CRASHES = 20;
const CRASH_PERIOD_MS = 500;

/** A timer by which work takes time. */
class WorkTimer extends ManualTimer {
  workMs = 0;

  override now(): number {
    return super.now() + this.workMs;
  }
}

test('decisions take a small share of the time, however long one takes', async () => {
  const timer = new WorkTimer();
  const quarantine = new Quarantine({timer});
  await timer.advance(60_000);
  const beganAt = timer.now();
  vi.spyOn(quarantine, 'decide').mockImplementation(() => {
    timer.workMs += DECISION_MS;
    return [];
  });
  for (let index = 0; index < CRASHES; index++) {
    quarantine.learn({
      type: 'crash',
      upstream: `upstream-${index}`,
      startedAt: 1,
      reporter: 'peer',
      suspects: [{request: `r${index}`, parts: ['hot', 'bad'], openMs: 50}],
      at: timer.now(),
    });
    await timer.advance(CRASH_PERIOD_MS);
  }
  quarantine.stop();
  const share = timer.workMs / (timer.now() - beganAt);
  expect(share).toBeGreaterThan(0);
  expect(share).toBeLessThan(0.06);
});

test('a part is held soon after the process stood still in a decision', async () => {
  const timer = new WorkTimer();
  const quarantine = new Quarantine({timer});
  await timer.advance(60_000);
  const learnCrash = (index: number) =>
    quarantine.learn({
      type: 'crash',
      upstream: `upstream-${index}`,
      startedAt: 1,
      reporter: 'peer',
      suspects: [{request: `r${index}`, parts: ['hot', 'bad'], openMs: 50}],
      at: timer.now(),
    });
  vi.spyOn(quarantine, 'decide').mockImplementationOnce(() => {
    timer.workMs += 30_000;
    return [];
  });
  for (let index = 0; index < 4; index++) {
    learnCrash(index);
    await timer.advance(CRASH_PERIOD_MS);
  }
  await timer.advance(3_000);
  quarantine.stop();
  expect(quarantine.holds().map(({part}) => part)).toEqual(['bad']);
});
