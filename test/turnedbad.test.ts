import {afterEach, expect, test} from 'vitest';
import {seededRandom} from '../stand-ins/random.js';
import {
  closeDeployments,
  CrashDeployment,
  hasBadPart,
  untilHeld,
} from './support/crashdeployment.js';
import {sleep} from './support/silentupstream.js';

/** Sends that the rule allows after the fifth crash and the window. */
const SENDS_LIMIT = 3;
const SEED = 71;

afterEach(closeDeployments);

test('a part that was answered and then ends all engines in turn reaches them at most three times more', async () => {
  const random = seededRandom(SEED);
  let isBad = false;
  const deployment = await CrashDeployment.open(
    parts => isBad && hasBadPart(parts),
    undefined,
    {
      soundPeriodMs: 125,
      badPeriodMs: 200,
      restartMs: () => 3_500 + 4_500 * random(),
    },
  );
  await sleep(2_000);
  deployment.sendBad();
  await sleep(3_000);
  isBad = true;
  const heldAt = await untilHeld(deployment);
  await sleep(9_000);
  expect(deployment.badSendsSince(heldAt)).toBeLessThanOrEqual(SENDS_LIMIT);
}, 40_000);
