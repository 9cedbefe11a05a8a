import {
  Credential,
  DatagramPort,
  GossipMembership,
  openPeerPorts,
  PeerClient,
  PeerServer,
  Synchronizer,
  type Member,
} from '../../src/instance/index.js';
import {Level, openStderrLogger} from '../../src/telemetry/index.js';
import {SystemTimer} from '../../src/timer/index.js';
import {FaultProxy} from '../../stand-ins/index.js';
import {loopbackAddress} from '../../stand-ins/loopback.js';

/** Added to the index of an instance for the last number of an address. */
const HOSTS = 20;
const PROXIES = 40;

export const SECRET = 'a-secret-of-sixteen-letters';

/** Membership of one instance, with its ports; peers reach it via a proxy. */
export interface TestInstance {
  name: string;
  host: string;
  membership: GossipMembership;
  proxy: FaultProxy;
  client: PeerClient;
  server: PeerServer;
  datagrams: DatagramPort;
  stop(): Promise<void>;
}

/**
 * Starts an instance on its own loopback address. Its name ends in `index`.
 */
export async function startInstance(
  index: number,
  seeds: readonly TestInstance[],
  options: {secrets?: string[]; incarnation?: number; proxy?: FaultProxy} = {},
): Promise<TestInstance> {
  const timer = new SystemTimer();
  const logger = openStderrLogger(Level.Silent);
  const host = loopbackAddress(HOSTS + index);
  const name = `router-${index}`;
  const credential = new Credential(options.secrets ?? [SECRET]);
  const server = new PeerServer(credential);
  const client = new PeerClient(credential, host);
  const datagrams = new DatagramPort(credential, timer);
  const port = await openPeerPorts(server, datagrams, {host, peerPort: 0});
  const proxy =
    options.proxy ?? (await FaultProxy.open(loopbackAddress(PROXIES + index)));
  proxy.setTarget(`${host}:${port}`);
  const membership = new GossipMembership(
    {
      name,
      incarnation: options.incarnation ?? Date.now(),
      zone: 'delta-a',
      host: proxy.host,
      port: proxy.port,
    },
    {datagrams, timer, logger, random: Math.random},
  );
  const synchronizer = new Synchronizer(
    membership,
    seeds.map(seed => ({host: seed.proxy.host, port: seed.proxy.port})),
    {client, server, timer, logger, random: Math.random},
  );
  membership.start();
  await synchronizer.start();
  const stop = async () => {
    await synchronizer.stop();
    await membership.stop();
    datagrams.close();
    await server.close();
    await client.close();
  };
  return {
    name,
    host,
    membership,
    proxy,
    client,
    server,
    datagrams,
    stop,
  };
}

/** Starts `count` instances; the first is the seed of the others. */
export async function startInstances(count: number): Promise<TestInstance[]> {
  const instances: TestInstance[] = [];
  for (let index = 1; index <= count; index++) {
    instances.push(await startInstance(index, instances.slice(0, 1)));
  }
  return instances;
}

/** States of all members as an instance knows them, by name. */
export function memberStates({
  membership,
}: TestInstance): Record<string, string> {
  const pairs = membership.all().map(({name, state}: Member) => [name, state]);
  return Object.fromEntries(pairs.sort()) as Record<string, string>;
}

/** Polls until `condition` holds or `limitMs` is over; returns the result. */
export async function waitUntil(
  condition: () => boolean,
  limitMs = 15_000,
): Promise<boolean> {
  const end = Date.now() + limitMs;
  while (Date.now() < end) {
    if (condition()) return true;
    await new Promise(resolve => setTimeout(resolve, 20));
  }
  return condition();
}
