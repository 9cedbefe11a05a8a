import {afterEach, describe, expect, test} from 'vitest';
import {
  EVENTS,
  eventsIn,
  sendStream,
  VersionedDeployment,
  versionsIn,
  type Interrupt,
} from './support/versionedengines.js';

const STREAMS = 12;
/** Time for instances to hear of each other and of new streams, in ms. */
const GOSSIP_MS = 500;

const deployments: VersionedDeployment[] = [];

afterEach(async () => {
  await Promise.all(deployments.splice(0).map(one => one.close()));
});

function deploy(interrupt?: Interrupt): VersionedDeployment {
  const deployment = new VersionedDeployment(interrupt);
  deployments.push(deployment);
  return deployment;
}

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

const ids = Array.from({length: STREAMS}, (_, n) => `r${n}`);

/** Breaks each stream off once, after its third event. */
const breakOnce: Interrupt = ({after}) =>
  after === 0 ? {events: 3} : undefined;

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

  test('ends if no other upstream has that software version', async () => {
    const deployment = deploy(breakOnce);
    await deployment.addEngines(['v1', 'v2', 'v3']);
    const gateway = await deployment.addGateway();
    for (const id of ids) {
      const response = await sendStream(gateway, id);
      expect(versionsIn(response)).toHaveLength(1);
      expect(response?.complete).toBe(false);
      expect(deployment.runsOf(id)).toHaveLength(1);
    }
  });

  test('may begin at another software version before its first event', async () => {
    const deployment = deploy(({version}) =>
      version === 'v1' ? {events: 0} : undefined,
    );
    await deployment.addEngines(['v1', 'v2']);
    const gateway = await deployment.addGateway();
    for (const id of ids) {
      const response = await sendStream(gateway, id);
      expect(versionsIn(response)).toEqual(['v2']);
      expect(eventsIn(response)).toHaveLength(EVENTS);
    }
  });
});

describe('a stream whose upstream is silent for a while', () => {
  test('is not gone on with at another software version', async () => {
    const silence: Interrupt = ({after}) =>
      after === 0 ? {events: 3, silentMs: 1_500} : undefined;
    const deployment = deploy(silence);
    await deployment.addEngines(['v1', 'v2', 'v3']);
    const gateway = await deployment.addGateway();
    const response = await sendStream(gateway, 'r1');
    expect(versionsIn(response)).toHaveLength(1);
    expect(eventsIn(response)).toHaveLength(EVENTS);
    expect(deployment.runsOf('r1')).toHaveLength(1);
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
