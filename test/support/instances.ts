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

export const SECRET = 'a-secret-of-sixteen-letters';

/** The part of an instance that takes part in membership, behind a proxy. */
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

/** Starts an instance on a loopback address of its own. */
export async function startInstance(
  index: number,
  seeds: readonly TestInstance[],
  options: {secrets?: string[]; incarnation?: number; proxy?: FaultProxy} = {},
): Promise<TestInstance> {
  const timer = new SystemTimer();
  const logger = openStderrLogger(Level.Silent);
  const host = `127.0.3.${index}`;
  const name = `router-${index}`;
  const credential = new Credential(options.secrets ?? [SECRET]);
  const server = new PeerServer(credential);
  const client = new PeerClient(credential, host);
  const datagrams = new DatagramPort(credential, timer);
  const port = await openPeerPorts(server, datagrams, {host, peerPort: 0});
  const proxy = options.proxy ?? (await FaultProxy.open(`127.0.4.${index}`));
  proxy.setTarget(`${host}:${port}`);
  const fleet = new GossipMembership(
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
    fleet,
    seeds.map(seed => ({host: seed.proxy.host, port: seed.proxy.port})),
    {client, server, timer, logger, random: Math.random},
  );
  fleet.start();
  await synchronizer.start();
  const stop = async () => {
    await synchronizer.stop();
    await fleet.stop();
    datagrams.close();
    await server.close();
    await client.close();
  };
  return {
    name,
    host,
    membership: fleet,
    proxy,
    client,
    server,
    datagrams,
    stop,
  };
}

/** Starts `count` instances that all know the first as their seed. */
export async function startInstances(count: number): Promise<TestInstance[]> {
  const all: TestInstance[] = [];
  for (let index = 1; index <= count; index++) {
    all.push(await startInstance(index, all.slice(0, 1)));
  }
  return all;
}

/** States of all members as an instance sees them, by name. */
export function memberStates({
  membership: fleet,
}: TestInstance): Record<string, string> {
  const pairs = fleet.all().map(({name, state}: Member) => [name, state]);
  return Object.fromEntries(pairs.sort()) as Record<string, string>;
}

/** Polls until `condition` holds or `limitMs` is over; tells whether it did. */
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
