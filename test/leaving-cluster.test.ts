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
const PROPAGATION_LIMIT_MS = 3_000;

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

const takesWorkByRouter = async (name: string) => {
  const views = await Promise.all(
    addresses().map(address => fetchUpstreams(client, address)),
  );
  return views.map(
    view => view?.find(({upstream}) => upstream === name)?.takesWork,
  );
};

const waitUntil = async (limitMs: number, check: () => Promise<boolean>) => {
  const end = Date.now() + limitMs;
  while (Date.now() < end) {
    if (await check()) return true;
    await new Promise(resolve => setTimeout(resolve, 20));
  }
  return false;
};

it('routers of a cluster discover each other', async () => {
  const found = await waitUntil(15_000, async () => {
    const views = await Promise.all(
      addresses().map(address => fetchMembers(client, address)),
    );
    return views.every(view => view?.length === ROUTERS);
  });
  expect(found).toBe(true);
});

it('a leaving command to one router reaches all routers', async () => {
  const name = cluster.upstreams[0]?.name ?? '';
  const [first] = addresses();
  if (first === undefined) return expect.unreachable();
  expect(await takesWorkByRouter(name)).toEqual([true, true, true]);
  const result = await sendLeavingCommand(client, first, name, true);
  expect(result.isOk()).toBe(true);
  const noneTakesWork = async () =>
    (await takesWorkByRouter(name)).every(open => open === false);
  expect(await waitUntil(PROPAGATION_LIMIT_MS, noneTakesWork)).toBe(true);
  await sendLeavingCommand(client, first, name, false);
  const allTakeWork = async () =>
    (await takesWorkByRouter(name)).every(open => open === true);
  expect(await waitUntil(PROPAGATION_LIMIT_MS, allTakeWork)).toBe(true);
});

it('a leaving command fails if the upstream is not configured', async () => {
  const [first] = addresses();
  if (first === undefined) return expect.unreachable();
  const result = await sendLeavingCommand(client, first, 'nobody', true);
  expect(result._unsafeUnwrapErr()).toMatchObject({
    type: 'peerRefused',
    message: 'there is no upstream nobody',
  });
});
