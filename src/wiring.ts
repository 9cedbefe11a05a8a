import {Agent} from 'undici';
import type {Logger} from 'pino';
import {Follower} from './config/index.js';
import {
  Credential,
  Entrance,
  LoneMembership,
  PeerClient,
  PeerServer,
  type PeerAddress,
  type Settings,
} from './instance/index.js';
import {HttpLog} from './platform/index.js';
import {Claims} from './claim/index.js';
import {Executor, RetryBudget, RoundRobin} from './request/index.js';
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
    connect: {localAddress},
  });
  const log = new HttpLog(settings.logUrl, platform);
  const directory = new Directory(localAddress);
  const follower = new Follower(log, timer, logOf(root, Part.Config));
  follower.subscribe(({document}) => directory.apply(document));
  const scheduler = new RoundRobin(directory);
  const recorder = nullRecorder;
  const credential = new Credential(settings.peerSecrets);
  const peerServer = new PeerServer(credential);
  const peerClient = new PeerClient(credential, localAddress);
  const peerPort = await peerServer.listen(settings.host, settings.peerPort);
  const membership = new LoneMembership({
    name: settings.instance,
    incarnation: timer.wallNow(),
    zone: settings.zone,
    ...advertised(settings, peerPort),
  });
  follower.subscribe(({version}) =>
    membership.report({configurationVersion: version}),
  );
  const claims = new Claims({
    log,
    timer,
    membership,
    client: peerClient,
    server: peerServer,
    logger: logOf(root, Part.Claim),
    windowMs: settings.keyWindowMs,
  });
  const executor = new Executor({
    recorder,
    scheduler,
    timer,
    claims,
    retries: new RetryBudget(timer),
    committed: new Set(),
  });
  const entrance = new Entrance({
    follower,
    executor,
    timer,
    logger: logOf(root, Part.Request),
  });
  follower.start();
  const port = await entrance.listen(settings.host, settings.port);
  logOf(root, Part.Router).info({port}, 'Listening for callers.');
  return {
    port,
    peerPort,
    stop: async () => {
      await entrance.drain();
      await follower.stop();
      await peerServer.close();
      await peerClient.close();
      await directory.close();
      await platform.close();
    },
  };
}

function advertised(settings: Settings, peerPort: number): PeerAddress {
  const [host, port] = (settings.advertise ?? '').split(':');
  if (host === undefined || port === undefined) {
    return {host: settings.host, port: peerPort};
  }
  return {host, port: Number(port)};
}
