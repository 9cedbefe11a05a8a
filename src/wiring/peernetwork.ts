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

/** Components that communicate with the other instances. */
export interface PeerNetwork {
  /** Port on which peers reach this instance. */
  port: number;
  server: PeerServer;
  client: PeerClient;
  membership: GossipMembership;
  /** Absent if no instance list is configured. */
  discovery?: Discovery;
  start(): Promise<void>;
  stop(): Promise<void>;
}

/** Opens the ports for peers and creates the membership protocol on them. */
export async function openPeerNetwork(
  shared: SharedDependencies,
): Promise<PeerNetwork> {
  const {settings, timer, random} = shared;
  const credential = new Credential(settings.peerSecrets);
  const tls = readTlsFiles(settings);
  const server = new PeerServer(credential, tls);
  const client = new PeerClient(credential, settings.host, tls);
  const datagrams = new DatagramPort(credential, timer);
  const port = await openPeerPorts(server, datagrams, settings);
  const logger = componentLogger(shared.root, Component.Member);
  const membership = new GossipMembership(
    {
      name: settings.instance,
      incarnation: timer.wallNow(),
      zone: settings.zone,
      ...advertisedAddress(settings, port),
    },
    {datagrams, timer, logger, random},
  );
  const seeds = settings.seeds.map(parsePeerAddress);
  const parts = {client, server, timer, logger, random};
  const synchronizer = new Synchronizer(membership, seeds, parts);
  const discovery = createDiscovery(shared, membership, synchronizer);
  serveMembers(server, membership);
  serveUsage({datagrams, client, server, platform: shared.meter});
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

function createDiscovery(
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

/** The address that peers are told to reach this instance at. */
function advertisedAddress(settings: Settings, peerPort: number): PeerAddress {
  return settings.advertise === undefined
    ? {host: settings.host, port: peerPort}
    : parsePeerAddress(settings.advertise);
}
