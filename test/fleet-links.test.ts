import {ok} from 'neverthrow';
import {pino} from 'pino';
import {describe, expect, it} from 'vitest';
import type {Application} from '../bench/fleet/fleetspec.js';
import {SimulatedFleet} from '../bench/fleet/simulatedfleet.js';
import {StoreState} from '../bench/fleet/simulatedstore.js';
import {RecordExchange, type GossipMessage} from '../src/fleet/index.js';
import {TransferQueue} from '../src/fleet/transferqueue.js';
import {
  Reception,
  StoreEpoch,
  Topic,
  type Changes,
  type TopicReplica,
  type TopicStatus,
} from '../src/registry/index.js';
import {ManualTimer} from '../src/timer/index.js';

/** Narrow links of a deployment, in bytes a second: 7 and 42 Mbit/s. */
const LINKS = {instance: 875_000, region: 5_250_000};
/** Time in which a deployment with such links wants changes in force, in ms. */
const IN_FORCE_MS = 4_000;

function fleetOverLinks(
  configurationBytes: number,
  seed: number,
): SimulatedFleet {
  return new SimulatedFleet({
    instances: 60,
    upstreams: 100,
    seed,
    loss: 0.01,
    configurationBytes,
    links: LINKS,
  });
}

it('counts the time of a transfer to the age of what it brings', async () => {
  const timer = new ManualTimer();
  const received: TopicStatus[] = [];
  const replica = {
    topic: Topic.Configuration,
    end: 5,
    earlierPositions: () => [],
    isBehind: () => false,
    receive: (status: TopicStatus, sent?: Changes) => {
      received.push(status);
      return sent === undefined ? Reception.Behind : Reception.Applied;
    },
  };
  const status = [Topic.Configuration, 9, 0, 9, 30, 'entry-2'];
  const exchange = new RecordExchange({
    epochs: new StoreEpoch(pino({level: 'silent'}), new ManualTimer()),
    replicas: [replica as unknown as TopicReplica],
    client: {
      call: async () => {
        await timer.sleep(900);
        const changes = {topic: Topic.Configuration, from: 5, records: []};
        return ok({epoch: 0, status, changes});
      },
    },
    server: {handle: () => undefined},
    timer,
    linkBytesPerSecond: LINKS.instance,
    logger: pino({level: 'silent'}),
  });
  const topics = [status as GossipMessage['topics'][number]];
  const news = {epoch: 0, topics, changes: [], earlier: []};
  exchange.receive(news, {host: 'h', port: 1});
  await timer.advance(1_000);
  expect(received.map(({ageMs}) => ageMs)).toEqual([30, 930]);
});

it('sends peers what the link carries soon, and refuses the rest', () => {
  const queue = new TransferQueue(1_000_000);
  const admitted = [0, 0, 0, 250, 400].map(now =>
    queue.admit(100_000, 1_500, now),
  );
  expect(admitted).toEqual([true, false, false, true, true]);
  expect(new TransferQueue(125_000_000).admit(100_000, 1_500, 0)).toBe(true);
});

it('sends peers no reply that arrives too late, and each small one', () => {
  const queue = new TransferQueue(1_000_000);
  expect(queue.admit(1_600_000, 1_500, 0)).toBe(false);
  expect(queue.admit(1_400_000, 1_500, 0)).toBe(true);
  expect([
    queue.admit(5_000, 1_500, 100),
    queue.admit(4_000, 1_500, 100),
    queue.admit(300_000, 400, 4_000),
  ]).toEqual([false, true, true]);
});

function lateConfigurations({applications}: SimulatedFleet): Application[] {
  return applications.filter(
    ({topic, delayMs}) =>
      topic === Topic.Configuration && delayMs > IN_FORCE_MS,
  );
}

// Guards against 404 on routes that were acknowledged long before.
describe('a fleet over narrow links', () => {
  for (const seed of [1, 2, 3]) {
    it(`has large configurations in force in time, seed ${seed}`, async () => {
      const fleet = fleetOverLinks(120_000, seed);
      await fleet.start(10_000);
      fleet.applications.length = 0;
      for (let count = 0; count < 4; count++) {
        fleet.publishConfiguration();
        await fleet.advance(IN_FORCE_MS + 1);
      }
      expect(lateConfigurations(fleet)).toEqual([]);
      expect(fleet.overdue(Topic.Configuration, IN_FORCE_MS)).toEqual([]);
    }, 60_000);
  }

  it('has the last of many configurations in force in time', async () => {
    const fleet = fleetOverLinks(60_000, 3);
    await fleet.start(10_000);
    fleet.applications.length = 0;
    for (let count = 0; count < 20; count++) {
      fleet.publishConfiguration();
      await fleet.advance(150);
    }
    await fleet.advance(IN_FORCE_MS);
    expect(lateConfigurations(fleet)).toEqual([]);
  }, 60_000);

  it.each([
    // Regular messages of an instance a second: 12 peers each 150 ms.
    {instances: 13, regular: 80},
    {instances: 60, regular: 15},
  ])(
    'bounds its messages whatever its callers send, $instances instances',
    async ({instances, regular}) => {
      const fleet = new SimulatedFleet({
        instances,
        upstreams: 100,
        seed: 1,
        loss: 0,
        configurationBytes: 20_000,
      });
      await fleet.start(5_000);
      const before = fleet.network.traffic.datagrams;
      fleet.base.every(10, () => {
        for (const instance of fleet.instances) instance.placePrompt();
      });
      await fleet.advance(2_000);
      const sent = fleet.network.traffic.datagrams - before;
      expect(sent / 2 / instances).toBeLessThanOrEqual(3 * regular);
    },
    60_000,
  );

  it('catches up in a region that was cut off for long', async () => {
    const fleet = fleetOverLinks(20_000, 4);
    await fleet.start(8_000);
    const far = fleet.instances.filter(
      ({place}) => place.region === 'region-2',
    );
    for (const instance of far) {
      instance.storeState = StoreState.Silent;
      instance.reachesPeers = false;
    }
    await fleet.advance(20_000);
    fleet.publishConfiguration();
    await fleet.advance(2_000);
    for (const instance of far) {
      instance.storeState = StoreState.Serves;
      instance.reachesPeers = true;
    }
    await fleet.advance(IN_FORCE_MS);
    expect(fleet.overdue(Topic.Configuration, IN_FORCE_MS)).toEqual([]);
  }, 60_000);

  it('catches up with more than its link carries in the time of a call', async () => {
    const fleet = new SimulatedFleet({
      instances: 1,
      upstreams: 400,
      seed: 5,
      loss: 0,
      configurationBytes: 20_000,
      links: LINKS,
    });
    await fleet.start(5_000);
    const treatAll = (state: StoreState) => {
      for (const instance of fleet.instances) instance.storeState = state;
    };
    treatAll(StoreState.Silent);
    await fleet.advance(40_000);
    treatAll(StoreState.Serves);
    await fleet.advance(IN_FORCE_MS + 2_000);
    const ages = fleet.instances.map(each => each.fleet.upstreams.ageMs());
    expect(ages).toEqual([expect.toSatisfy((age: number) => age <= 2_000)]);
  }, 60_000);
});
