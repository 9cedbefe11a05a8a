import {afterAll, beforeAll, expect, it} from 'vitest';
import {Cluster} from '../bench/cluster.js';
import {Deployment, exampleOf} from '../bench/deployment.js';
import {
  parsePeerAddress,
  sendLeavingCommand,
  Credential,
  PeerClient,
  fetchMembers,
  fetchUpstreams,
} from '../src/instance/index.js';

const ROUTERS = 3;
const LIMIT_MS = 3_000;

let cluster: Cluster;
const client = new PeerClient(new Credential([Cluster.peerSecret]), '0.0.0.0');

beforeAll(async () => {
  cluster = await Cluster.start({
    document: exampleOf(Deployment.Nilecoil),
    routers: ROUTERS,
  });
});

afterAll(async () => {
  await client.close();
  await cluster.stop();
});

const addresses = () =>
  cluster.routers.map(({proxy}) => parsePeerAddress(proxy.address));

const openAt = async (name: string) => {
  const views = await Promise.all(
    addresses().map(address => fetchUpstreams(client, address)),
  );
  return views.map(
    view => view?.find(({upstream}) => upstream === name)?.takesWork,
  );
};

const within = async (limitMs: number, check: () => Promise<boolean>) => {
  const end = Date.now() + limitMs;
  while (Date.now() < end) {
    if (await check()) return true;
    await new Promise(resolve => setTimeout(resolve, 20));
  }
  return false;
};

it('routers of a cluster find each other', async () => {
  const found = await within(15_000, async () => {
    const views = await Promise.all(
      addresses().map(address => fetchMembers(client, address)),
    );
    return views.every(view => view?.length === ROUTERS);
  });
  expect(found).toBe(true);
});

it('an operator takes an upstream out everywhere by telling one router', async () => {
  const name = cluster.upstreams[0]?.name ?? '';
  const [first] = addresses();
  if (first === undefined) return expect.unreachable();
  expect(await openAt(name)).toEqual([true, true, true]);
  const told = await sendLeavingCommand(client, first, name, true);
  expect(told.isOk()).toBe(true);
  const out = async () => (await openAt(name)).every(open => open === false);
  expect(await within(LIMIT_MS, out)).toBe(true);
  await sendLeavingCommand(client, first, name, false);
  const back = async () => (await openAt(name)).every(open => open === true);
  expect(await within(LIMIT_MS, back)).toBe(true);
});

it('an upstream that is not configured is a typed refusal', async () => {
  const [first] = addresses();
  if (first === undefined) return expect.unreachable();
  const told = await sendLeavingCommand(client, first, 'nobody', true);
  expect(told._unsafeUnwrapErr()).toMatchObject({
    type: 'peerRefused',
    message: 'there is no upstream nobody',
  });
});
