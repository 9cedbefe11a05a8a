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

let all: TestInstance[] = [];

afterEach(async () => {
  await Promise.all(all.map(taking => taking.stop()));
  await Promise.all(all.map(({proxy}) => proxy.close().catch(() => undefined)));
  all = [];
});

const stateOf = (observer: TestInstance, subject: TestInstance) =>
  memberStates(observer)[subject.name];

const everyoneSees = (subject: TestInstance, state: MemberState) => () =>
  all
    .filter(taking => taking !== subject)
    .every(taking => stateOf(taking, subject) === state);

const allLive = () =>
  all.every(({membership: fleet}) => fleet.live().length === all.length);

describe('a fleet', () => {
  it('finds itself through one seed', async () => {
    all = await startInstances(4);
    expect(await waitUntil(allLive)).toBe(true);
    expect(memberStates(all[3] as TestInstance)).toMatchInlineSnapshot(`
      {
        "router-1": "alive",
        "router-2": "alive",
        "router-3": "alive",
        "router-4": "alive",
      }
    `);
  });

  it('keeps a peer that one lost link cuts off from another', async () => {
    all = await startInstances(3);
    const [one, two] = all as [TestInstance, TestInstance, TestInstance];
    await waitUntil(allLive);
    const seen = new Set<string>();
    one.membership.subscribe(({name, state}) => seen.add(`${name} ${state}`));
    two.proxy.inject({blackholed: true}, one.host);
    one.proxy.inject({blackholed: true}, two.host);
    await new Promise(resolve => setTimeout(resolve, 7_000));
    expect(seen).not.toContain(`${two.name} dead`);
    expect(all.map(({membership: fleet}) => fleet.live().length)).toEqual([
      3, 3, 3,
    ]);
  });

  it('finds a crash, and takes back a new incarnation only', async () => {
    all = await startInstances(3);
    const [one, two, three] = all as [TestInstance, TestInstance, TestInstance];
    await waitUntil(allLive);
    const old = {...three.membership.self()};
    await three.stop();
    expect(await waitUntil(everyoneSees(three, MemberState.Dead))).toBe(true);
    one.membership.merge({members: [{...old, state: MemberState.Alive}]});
    expect(stateOf(one, three)).toBe(MemberState.Dead);
    all[2] = await startInstance(3, [two], {proxy: three.proxy});
    expect(await waitUntil(allLive)).toBe(true);
    one.membership.merge({members: [{...old, state: MemberState.Dead}]});
    expect(stateOf(one, three)).toBe(MemberState.Alive);
  });

  it('tells of a leaving instance at once, and late news revive nothing', async () => {
    all = await startInstances(3);
    const [one, , three] = all as [TestInstance, TestInstance, TestInstance];
    await waitUntil(allLive);
    const old = {...three.membership.self()};
    await three.membership.leave();
    expect(
      await waitUntil(everyoneSees(three, MemberState.Leaving), 2_000),
    ).toBe(true);
    one.membership.merge({members: [{...old, state: MemberState.Alive}]});
    expect(stateOf(one, three)).toBe(MemberState.Leaving);
  });

  it('ends an incarnation when its successor runs under its name', async () => {
    all = await startInstances(2);
    const [one, two] = all as [TestInstance, TestInstance];
    await waitUntil(allLive);
    const successor = await startInstance(2, [one]);
    const ended = await waitUntil(
      () => two.membership.self().state === MemberState.Dead,
    );
    expect(ended).toBe(true);
    expect(one.membership.live().map(({incarnation}) => incarnation)).toContain(
      successor.membership.self().incarnation,
    );
    all.push(successor);
  });

  it('parts and rejoins when a cut heals', async () => {
    all = await startInstances(4);
    await waitUntil(allLive);
    const [left, right] = [all.slice(0, 2), all.slice(2)];
    const cut = (value: boolean) => {
      for (const a of left) {
        for (const b of right) {
          a.proxy.inject({blackholed: value}, b.host);
          b.proxy.inject({blackholed: value}, a.host);
        }
      }
    };
    cut(true);
    const halves = () =>
      all.every(({membership: fleet}) => fleet.live().length === 2);
    expect(await waitUntil(halves, 20_000)).toBe(true);
    cut(false);
    expect(await waitUntil(allLive, 40_000)).toBe(true);
  });
});

describe('a stranger', () => {
  it('changes nothing and gets no answer', async () => {
    all = [await startInstance(1, [])];
    const [one] = all as [TestInstance];
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

  it('is told from a peer while secrets rotate', async () => {
    const next = 'the-next-secret-here';
    const one = await startInstance(1, [], {secrets: [SECRET]});
    const two = await startInstance(2, [one], {secrets: [SECRET, next]});
    const three = await startInstance(3, [two], {secrets: [next, SECRET]});
    all = [two, three, one];
    expect(await waitUntil(() => two.membership.live().length === 3)).toBe(
      true,
    );
    expect(stateOf(three, two)).toBe(MemberState.Alive);
  });
});

describe('a configuration version', () => {
  it('is heard of everywhere at once', async () => {
    all = await startInstances(8);
    await waitUntil(allLive);
    const heard = new Set<string>();
    for (const {name, membership: fleet} of all) {
      fleet.subscribeVersion(version => {
        fleet.updateStatus({configurationVersion: version});
        heard.add(name);
      });
    }
    all[0]?.membership.updateStatus({configurationVersion: 7});
    expect(await waitUntil(() => heard.size === 7, 5_000)).toBe(true);
  });
});
