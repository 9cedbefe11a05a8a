import {afterEach, describe, expect, test} from 'vitest';
import {
  EVENTS,
  eventsIn,
  sendStream,
  VersionedDeployment,
  versionsIn,
  type BreakPoint,
} from './support/versionedengines.js';

const STREAMS = 6;
/** Time for instances to hear of each other and of new streams, in ms. */
const GOSSIP_MS = 500;

const deployments: VersionedDeployment[] = [];

afterEach(async () => {
  await Promise.all(deployments.splice(0).map(one => one.close()));
});

function deploy(breakPoint?: BreakPoint): VersionedDeployment {
  const deployment = new VersionedDeployment(breakPoint);
  deployments.push(deployment);
  return deployment;
}

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

const ids = Array.from({length: STREAMS}, (_, n) => `r${n}`);

/** Breaks each stream off once, after its third event. */
const breakOnce: BreakPoint = ({after}) => (after === 0 ? 3 : undefined);

describe('a stream that its upstream breaks off', () => {
  test('goes on at the software version that began it', async () => {
    const deployment = deploy(breakOnce);
    await deployment.addEngines(['v1', 'v2', 'v2', 'v1', 'v2']);
    const gateway = await deployment.addGateway();
    for (const id of ids) {
      const response = await sendStream(gateway, id);
      expect(versionsIn(response)).toHaveLength(1);
      expect(response?.complete).toBe(true);
      expect(eventsIn(response)).toHaveLength(EVENTS);
    }
  });
});

describe('a stream that its caller takes up at another instance', () => {
  test('goes on at the software version that began it', async () => {
    const deployment = deploy();
    await deployment.addEngines(['v1', 'v2', 'v2', 'v1']);
    const [first, second] = [
      await deployment.addGateway(),
      await deployment.addGateway(),
    ];
    await sleep(GOSSIP_MS);
    const begun = await Promise.all(ids.map(id => beginAndCut(first, id)));
    await first.gateway.stop();
    for (const [index, id] of ids.entries()) {
      const start = begun[index];
      const response = await sendStream(second, `${id}-again`, {
        resumes: id,
        lastEvent: eventsIn(start).length,
      });
      expect(versionsIn(start, response)).toHaveLength(1);
      expect(eventsIn(start).length + eventsIn(response).length).toBe(EVENTS);
    }
  });

  /** Begins a stream at an instance that stops before its end. */
  async function beginAndCut(
    instance: Parameters<typeof sendStream>[0],
    id: string,
  ) {
    const response = sendStream(instance, id);
    await sleep(80);
    void instance.gateway.stop();
    return response;
  }
});
