import {Agent} from 'undici';
import type {Logger} from 'pino';
import {scheduling} from './admission/index.js';
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
import {HttpInstanceList, HttpLog} from './platform/index.js';
import {logOf, nullRecorder, Part} from './telemetry/index.js';
import {SystemTimer, type Timer} from './timer/index.js';
import {Directory} from './upstream/index.js';

const PLATFORM_CONNECTIONS = 8;

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
    localAddress,
  });
  const log = new HttpLog(settings.logUrl, platform);
  const directory = new Directory(localAddress);
  const follower = new Follower(log, timer, logOf(root, Part.Config));
  follower.subscribe(({document}) => directory.apply(document));
  const recorder = nullRecorder;
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
  follower.subscribe(({version}) =>
    membership.report({configurationVersion: version}),
  );
  const decisions = scheduling(settings.policy, {
    directory,
    membership,
    timer,
    recorder,
    zone: settings.zone,
    random,
  });
  follower.subscribe(({document}) => decisions.apply(document));
  const entrance = new Entrance({
    recorder,
    follower,
    scheduler: decisions.scheduler,
    timer,
    logger: logOf(root, Part.Request),
  });
  membership.start();
  await synchronizer.start();
  discovery?.start();
  decisions.start();
  follower.start();
  const port = await entrance.listen(settings.host, settings.port);
  logOf(root, Part.Router).info({port}, 'Listening for callers.');
  return {
    port,
    peerPort,
    stop: async () => {
      await membership.leave();
      await entrance.drain();
      decisions.stop();
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
