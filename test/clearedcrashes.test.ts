import {afterEach, describe, expect, test} from 'vitest';
import {
  closeDeployments,
  CrashDeployment,
  hasBadPart,
  untilHeld,
} from './support/crashdeployment.js';
import {SpoiledAnswer} from './support/crashingengines.js';
import {sleep} from './support/silentupstream.js';

/** Sends that the rule allows after the fifth crash and the window. */
const SENDS_LIMIT = 3;
/** Engines that spoil the answers to requests with the part. */
const SPOILING_ENGINES = 2;

afterEach(closeDeployments);

describe('answers that are none clear no part that crashes engines', () => {
  test.each(Object.values(SpoiledAnswer))(
    'where engines spoil theirs by %j',
    async answer => {
      const deployment = await CrashDeployment.open(
        hasBadPart,
        (engine, parts) =>
          engine < SPOILING_ENGINES && hasBadPart(parts) ? answer : undefined,
      );
      await sleep(2_000);
      deployment.sendBad();
      const heldAt = await untilHeld(deployment);
      await sleep(5_000);
      const badSends = deployment.badSendsSince(heldAt);
      expect(badSends).toBeLessThanOrEqual(SENDS_LIMIT);
    },
  );
});
