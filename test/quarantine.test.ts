import {afterEach, describe, expect, test} from 'vitest';
import {protocol} from '../platform/headers.js';
import {LogEvent} from '../src/telemetry/index.js';
import {seededRandom} from '../stand-ins/random.js';
import {
  closeDeployments,
  CrashDeployment,
  ENGINES,
  hasBadPart,
  STABLE_WINDOW_MS,
  untilHeld,
} from './support/crashdeployment.js';
import {sleep} from './support/silentupstream.js';

/** Sends that the rule allows after the fifth crash and the window. */
const SENDS_LIMIT = 3;

afterEach(closeDeployments);

/**
 * Whether a log line is of a probe by a gateway of another test file: the port
 * of an upstream that it had may be a gateway's here. All requests of a
 * deployment have ids, and none has this path.
 */
function isForeignProbe({
  request,
  cause,
  rejected,
}: Record<string, unknown>): boolean {
  const {path} = (rejected ?? {}) as {path?: string};
  return (
    request === '' && cause === 'unknownRoute' && path === protocol.probeTarget
  );
}

describe('a part of prompts that ends each engine which begins to answer', () => {
  test('reaches engines at most three times more after the fifth crash', async () => {
    const deployment = await CrashDeployment.open(hasBadPart);
    await sleep(2_000);
    deployment.sendBad();
    const heldAt = await untilHeld(deployment);
    await sleep(5_000);
    expect(deployment.badSendsSince(heldAt)).toBeLessThanOrEqual(SENDS_LIMIT);
  });

  test('leaves half of the sound requests with its first part their first attempt', async () => {
    const deployment = await CrashDeployment.open(hasBadPart);
    const openedAt = performance.now();
    await sleep(2_000);
    const before = deployment.begunShare(openedAt, performance.now() - 200);
    expect(before).toBeGreaterThan(0.9);
    deployment.sendBad();
    const heldAt = await untilHeld(deployment);
    await sleep(5_000);
    const after = deployment.begunShare(heldAt, performance.now() - 200);
    expect(after).toBeGreaterThanOrEqual(before / 2);
  });

  test('reaches engines no more often after the restart of a gateway', async () => {
    const deployment = await CrashDeployment.open(hasBadPart);
    await sleep(2_000);
    deployment.sendBad();
    const heldAt = await untilHeld(deployment);
    const restarted = await deployment.restartGateway();
    await sleep(STABLE_WINDOW_MS);
    deployment.exposed.add(restarted);
    await sleep(3_000);
    expect(deployment.badSendsSince(heldAt)).toBeLessThanOrEqual(SENDS_LIMIT);
  });
});

test('engines that end at random cause no refusal of a prompt with a hot part', async () => {
  const random = seededRandom(0x9e3779b1);
  const deployment: CrashDeployment = await CrashDeployment.open(
    () => deployment.engines.runningCount > ENGINES / 2 && random() < 0.03,
  );
  await sleep(8_000);
  expect(deployment.engines.crashes.length).toBeGreaterThan(5);
  const refusedUnsent = deployment.gateways
    .flatMap(({logLines}) => logLines)
    .filter(
      ({event, outcome, sends}) =>
        event === LogEvent.Ended && outcome !== 'gone' && sends === 0,
    )
    .filter(line => !isForeignProbe(line));
  expect(refusedUnsent).toEqual([]);
});
