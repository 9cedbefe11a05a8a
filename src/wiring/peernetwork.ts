import {
  parsePeerAddress,
  Credential,
  DatagramPort,
  Discovery,
  GossipMembership,
  openPeerPorts,
  PeerClient,
  PeerServer,
  readTlsFiles,
  serveMembers,
  serveUsage,
  Synchronizer,
  type PeerAddress,
  type Settings,
} from '../instance/index.js';
import {HttpInstanceList} from '../platform/index.js';
import {componentLogger, Component} from '../telemetry/index.js';
import type {SharedDependencies} from './shareddependencies.js';

/** The parts that talk to other instances. */
export interface PeerNetwork {
  port: number;
  server: PeerServer;
  client: PeerClient;
  membership: GossipMembership;
  discovery?: Discovery;
  start(): Promise<void>;
  stop(): Promise<void>;
}

/** Opens the peers' ports and constructs membership on them. */
export async function openPeerNetwork(
  base: SharedDependencies,
): Promise<PeerNetwork> {
  const {settings, timer, random} = base;
  const credential = new Credential(settings.peerSecrets);
  const tls = readTlsFiles(settings);
  const server = new PeerServer(credential, tls);
  const client = new PeerClient(credential, settings.host, tls);
  const datagrams = new DatagramPort(credential, timer);
  const port = await openPeerPorts(server, datagrams, settings);
  const logger = componentLogger(base.root, Component.Member);
  const membership = new GossipMembership(
    {
      name: settings.instance,
      incarnation: timer.wallNow(),
      zone: settings.zone,
      ...advertised(settings, port),
    },
    {datagrams, timer, logger, random},
  );
  const seeds = settings.seeds.map(parsePeerAddress);
  const parts = {client, server, timer, logger, random};
  const synchronizer = new Synchronizer(membership, seeds, parts);
  const discovery = openDiscovery(base, membership, synchronizer);
  serveMembers(server, membership);
  serveUsage({datagrams, client, server, platform: base.meter});
  return {
    port,
    server,
    client,
    membership,
    ...(discovery === undefined ? {} : {discovery}),
    start: async () => {
      membership.start();
      await synchronizer.start();
      discovery?.start();
    },
    stop: async () => {
      await discovery?.stop();
      await synchronizer.stop();
      await membership.stop();
      datagrams.close();
      await server.close();
      await client.close();
    },
  };
}

function openDiscovery(
  {settings, agent, timer, root, random}: SharedDependencies,
  membership: GossipMembership,
  synchronizer: Synchronizer,
): Discovery | undefined {
  if (settings.listUrl === undefined) return undefined;
  return new Discovery({
    list: new HttpInstanceList(settings.listUrl, agent),
    membership,
    synchronizer,
    timer,
    logger: componentLogger(root, Component.Member),
    random,
  });
}

function advertised(settings: Settings, peerPort: number): PeerAddress {
  return settings.advertise === undefined
    ? {host: settings.host, port: peerPort}
    : parsePeerAddress(settings.advertise);
}
