import {Agent} from 'undici';
import type {Logger} from 'pino';
import {Follower} from './config/index.js';
import {
  addressOf,
  Credential,
  DatagramPort,
  Discovery,
  Entrance,
  Fleet,
  openPeerPorts,
  PeerClient,
  PeerServer,
  Synchronizer,
  type PeerAddress,
  type Settings,
} from './instance/index.js';
import {Candidates, LeaseManager} from './lease/index.js';
import {EngineClient, OrderManager} from './order/index.js';
import {HttpInstanceList, HttpLog, HttpWeightStore} from './platform/index.js';
import {RoundRobin} from './request/index.js';
import {logOf, nullRecorder, Part} from './telemetry/index.js';
import {SystemTimer, type Timer} from './timer/index.js';
import {Directory} from './upstream/index.js';

const PLATFORM_CONNECTIONS = 8;
const ORDER_ROUNDS_PER_TERM = 3;

/** A running instance. */
export interface Router {
  /** Port callers reach the instance at. */
  port: number;
  /** Port peers reach the instance at. */
  peerPort: number;
  /** Drains: resolves when every request in flight has ended. */
  stop(): Promise<void>;
}

/**
 * Constructs every part of an instance, connects them, and starts it. The only
 * module that knows all parts.
 */
export async function startRouter(
  settings: Settings,
  root: Logger,
  timer: Timer = new SystemTimer(),
): Promise<Router> {
  const localAddress = settings.host;
  const platform = new Agent({
    connections: PLATFORM_CONNECTIONS,
    connect: {localAddress},
  });
  const log = new HttpLog(settings.logUrl, platform);
  const directory = new Directory(localAddress);
  const follower = new Follower(log, timer, logOf(root, Part.Config));
  follower.subscribe(({document}) => directory.apply(document));
  const scheduler = new RoundRobin(directory);
  const recorder = nullRecorder;
  const entrance = new Entrance({
    recorder,
    follower,
    scheduler,
    timer,
    logger: logOf(root, Part.Request),
  });
  const credential = new Credential(settings.peerSecrets);
  const peerServer = new PeerServer(credential);
  const peerClient = new PeerClient(credential, localAddress);
  const datagrams = new DatagramPort(credential, timer);
  const peerPort = await openPeerPorts(peerServer, datagrams, settings);
  const random = Math.random;
  const memberLogger = logOf(root, Part.Member);
  const membership = new Fleet(
    {
      name: settings.instance,
      incarnation: timer.wallNow(),
      zone: settings.zone,
      ...advertised(settings, peerPort),
    },
    {datagrams, timer, logger: memberLogger, random},
  );
  const synchronizer = new Synchronizer(
    membership,
    settings.seeds.map(addressOf),
    {
      client: peerClient,
      server: peerServer,
      timer,
      logger: memberLogger,
      random,
    },
  );
  const discovery =
    settings.listUrl === undefined
      ? undefined
      : new Discovery({
          list: new HttpInstanceList(settings.listUrl, platform),
          membership,
          synchronizer,
          timer,
          logger: memberLogger,
          random,
        });
  const candidates = new Candidates(
    settings.instance,
    () => membership.live().map(({name}) => name),
    timer,
  );
  const leases = new LeaseManager({
    log,
    timer,
    logger: logOf(root, Part.Lease),
    holder: `${settings.instance}/${timer.wallNow()}`,
    termMs: settings.leaseTermMs,
    rankOf: pool => candidates.rankOf(pool),
  });
  const orders = new OrderManager({
    leases,
    directory,
    client: new EngineClient(settings.orderToken),
    ...(settings.weightsUrl === undefined
      ? {}
      : {weights: new HttpWeightStore(settings.weightsUrl, platform)}),
    timer,
    logger: logOf(root, Part.Order),
    instance: settings.instance,
    roundMs: settings.leaseTermMs / ORDER_ROUNDS_PER_TERM,
  });
  follower.subscribe(({document}) => orders.apply(document));
  follower.subscribe(({version}) =>
    membership.report({configurationVersion: version}),
  );
  membership.start();
  await synchronizer.start();
  discovery?.start();
  leases.start();
  follower.start();
  const port = await entrance.listen(settings.host, settings.port);
  logOf(root, Part.Router).info({port}, 'Listening for callers.');
  return {
    port,
    peerPort,
    stop: async () => {
      await membership.leave();
      const drained = entrance.drain();
      await orders.stop();
      await leases.stop();
      await drained;
      await discovery?.stop();
      await follower.stop();
      await synchronizer.stop();
      await membership.stop();
      datagrams.close();
      await peerServer.close();
      await peerClient.close();
      await directory.close();
      await platform.close();
    },
  };
}

function advertised(settings: Settings, peerPort: number): PeerAddress {
  return settings.advertise === undefined
    ? {host: settings.host, port: peerPort}
    : addressOf(settings.advertise);
}
