import {createSocket} from 'node:dgram';
import {afterEach, describe, expect, it} from 'vitest';
import {MemberState} from '../src/instance/index.js';
import {
  SECRET,
  memberStates,
  startInstance,
  startInstances,
  waitUntil,
  type TestInstance,
} from './support/instances.js';

let instances: TestInstance[] = [];

afterEach(async () => {
  await Promise.all(instances.map(instance => instance.stop()));
  await Promise.all(
    instances.map(({proxy}) => proxy.close().catch(() => undefined)),
  );
  instances = [];
});

const stateOf = (observer: TestInstance, subject: TestInstance) =>
  memberStates(observer)[subject.name];

const allOthersSee = (subject: TestInstance, state: MemberState) => () =>
  instances
    .filter(instance => instance !== subject)
    .every(instance => stateOf(instance, subject) === state);

const allSeeAllLive = () =>
  instances.every(
    ({membership}) => membership.live().length === instances.length,
  );

describe('a fleet', () => {
  it('forms through a single seed', async () => {
    instances = await startInstances(4);
    expect(await waitUntil(allSeeAllLive)).toBe(true);
    expect(memberStates(instances[3] as TestInstance)).toMatchInlineSnapshot(`
      {
        "router-1": "alive",
        "router-2": "alive",
        "router-3": "alive",
        "router-4": "alive",
      }
    `);
  });

  it('keeps a member alive that only one peer cannot reach', async () => {
    instances = await startInstances(3);
    const [one, two] = instances as [TestInstance, TestInstance, TestInstance];
    await waitUntil(allSeeAllLive);
    const seen = new Set<string>();
    one.membership.subscribe(({name, state}) => seen.add(`${name} ${state}`));
    two.proxy.inject({blackholed: true}, one.host);
    one.proxy.inject({blackholed: true}, two.host);
    await new Promise(resolve => setTimeout(resolve, 7_000));
    expect(seen).not.toContain(`${two.name} dead`);
    expect(instances.map(({membership}) => membership.live().length)).toEqual([
      3, 3, 3,
    ]);
  });

  it('detects a crash, and readmits only a higher incarnation', async () => {
    instances = await startInstances(3);
    const [one, two, three] = instances as [
      TestInstance,
      TestInstance,
      TestInstance,
    ];
    await waitUntil(allSeeAllLive);
    const old = {...three.membership.self()};
    await three.stop();
    expect(await waitUntil(allOthersSee(three, MemberState.Dead))).toBe(true);
    one.membership.merge({members: [{...old, state: MemberState.Alive}]});
    expect(stateOf(one, three)).toBe(MemberState.Dead);
    instances[2] = await startInstance(3, [two], {proxy: three.proxy});
    expect(await waitUntil(allSeeAllLive)).toBe(true);
    one.membership.merge({members: [{...old, state: MemberState.Dead}]});
    expect(stateOf(one, three)).toBe(MemberState.Alive);
  });

  it('announces a leaving member at once and ignores late records', async () => {
    instances = await startInstances(3);
    const [one, , three] = instances as [
      TestInstance,
      TestInstance,
      TestInstance,
    ];
    await waitUntil(allSeeAllLive);
    const old = {...three.membership.self()};
    await three.membership.leave();
    expect(
      await waitUntil(allOthersSee(three, MemberState.Leaving), 2_000),
    ).toBe(true);
    one.membership.merge({members: [{...old, state: MemberState.Alive}]});
    expect(stateOf(one, three)).toBe(MemberState.Leaving);
  });

  it('stops an instance when a successor runs under its name', async () => {
    instances = await startInstances(2);
    const [one, two] = instances as [TestInstance, TestInstance];
    await waitUntil(allSeeAllLive);
    const successor = await startInstance(2, [one]);
    const ended = await waitUntil(
      () => two.membership.self().state === MemberState.Dead,
    );
    expect(ended).toBe(true);
    expect(one.membership.live().map(({incarnation}) => incarnation)).toContain(
      successor.membership.self().incarnation,
    );
    instances.push(successor);
  });

  it('splits under a network partition and merges when it heals', async () => {
    instances = await startInstances(4);
    await waitUntil(allSeeAllLive);
    const [left, right] = [instances.slice(0, 2), instances.slice(2)];
    const cut = (value: boolean) => {
      for (const a of left) {
        for (const b of right) {
          a.proxy.inject({blackholed: value}, b.host);
          b.proxy.inject({blackholed: value}, a.host);
        }
      }
    };
    cut(true);
    const bothHalvesAlone = () =>
      instances.every(({membership}) => membership.live().length === 2);
    expect(await waitUntil(bothHalvesAlone, 20_000)).toBe(true);
    cut(false);
    expect(await waitUntil(allSeeAllLive, 40_000)).toBe(true);
  });
});

describe('an instance without a shared secret', () => {
  it('changes no membership and gets no response', async () => {
    instances = [await startInstance(1, [])];
    const [one] = instances as [TestInstance];
    const stranger = await startInstance(2, [one], {
      secrets: ['another-secret-xx'],
    });
    const socket = createSocket('udp4');
    let answers = 0;
    socket.on('message', () => answers++);
    socket.send(
      '{"jsonrpc":"2.0","id":1,"method":"ping"}',
      one.proxy.port,
      one.proxy.host,
    );
    expect(await waitUntil(() => one.datagrams.usage.refused > 0)).toBe(true);
    expect(answers).toBe(0);
    expect(one.membership.all()).toHaveLength(1);
    expect(stranger.membership.all()).toHaveLength(1);
    socket.close();
    await stranger.stop();
    await stranger.proxy.close();
  });

  it('does not include peers during a secret rotation', async () => {
    const next = 'the-next-secret-here';
    const one = await startInstance(1, [], {secrets: [SECRET]});
    const two = await startInstance(2, [one], {secrets: [SECRET, next]});
    const three = await startInstance(3, [two], {secrets: [next, SECRET]});
    instances = [two, three, one];
    expect(await waitUntil(() => two.membership.live().length === 3)).toBe(
      true,
    );
    expect(stateOf(three, two)).toBe(MemberState.Alive);
  });
});

describe('a configuration version', () => {
  it('is announced to all instances at once', async () => {
    instances = await startInstances(8);
    await waitUntil(allSeeAllLive);
    const heard = new Set<string>();
    for (const {name, membership} of instances) {
      membership.subscribeVersion(version => {
        membership.updateStatus({configurationVersion: version});
        heard.add(name);
      });
    }
    instances[0]?.membership.updateStatus({configurationVersion: 7});
    expect(await waitUntil(() => heard.size === 7, 5_000)).toBe(true);
  });
});
