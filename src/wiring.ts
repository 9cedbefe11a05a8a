import {Agent} from 'undici';
import type {Logger} from 'pino';
import {Follower} from './config/index.js';
import {
  Gate,
  LogPublisher,
  OperatorListener,
  type InstanceGauges,
} from './console/index.js';
import {
  Credential,
  Entrance,
  LoneMembership,
  PeerClient,
  PeerServer,
  type Membership,
  type PeerAddress,
  type Settings,
} from './instance/index.js';
import {HttpLog} from './platform/index.js';
import {RoundRobin} from './request/index.js';
import {observeFleet, Reporter} from './report/index.js';
import {
  logOf,
  MeteredRecorder,
  nullRecorder,
  Part,
  Summarizer,
  type Backlog,
} from './telemetry/index.js';
import {SystemTimer, type Timer} from './timer/index.js';
import {Directory, takesWork} from './upstream/index.js';

const PLATFORM_CONNECTIONS = 8;
const MICROSECONDS_PER_SECOND = 1_000_000;

/** A running instance. */
export interface Router {
  /** Port callers reach the instance at. */
  port: number;
  /** Port peers reach the instance at. */
  peerPort: number;
  /** Port operators reach the instance at; absent without their secret. */
  operatorPort?: number;
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
  const recorder = new MeteredRecorder(timer);
  const entrance = new Entrance({
    recorder: settings.telemetry === 'on' ? recorder : nullRecorder,
    follower,
    scheduler,
    timer,
    logger: logOf(root, Part.Request),
  });
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
  const operators = await startOperators({
    settings,
    root,
    timer,
    log,
    directory,
    follower,
    recorder,
    membership,
    peerServer,
    peerClient,
  });
  follower.start();
  const port = await entrance.listen(settings.host, settings.port);
  logOf(root, Part.Router).info({port}, 'Listening for callers.');
  return {
    port,
    peerPort,
    ...(operators.port === undefined ? {} : {operatorPort: operators.port}),
    stop: async () => {
      await entrance.drain();
      await operators.stop();
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

/** The parts that operators see the instance through. */
interface OperatorSight {
  settings: Settings;
  root: Logger;
  timer: Timer;
  log: HttpLog;
  directory: Directory;
  follower: Follower;
  recorder: MeteredRecorder;
  membership: Membership;
  peerServer: PeerServer;
  peerClient: PeerClient;
}

/** Starts summaries, reports and, with a secret, the operators' listener. */
async function startOperators(
  parts: OperatorSight,
): Promise<{port?: number; stop(): Promise<void>}> {
  const {settings, root, timer, log, directory} = parts;
  const {follower, recorder, membership} = parts;
  const summarizer = new Summarizer(
    {
      instance: settings.instance,
      incarnation: membership.self().incarnation,
    },
    recorder,
    log,
    timer,
    logOf(root, Part.Router),
    () => membership.live().length,
  );
  const reporter = new Reporter({
    ...parts,
    view: () =>
      observeFleet({
        membership,
        directory,
        log,
        timer,
        configuration: () => follower.current(),
        configurationPosition: () => follower.position(),
        backlog: () => summarizer.backlog(),
        leases: () => [],
      }),
  });
  const listener =
    settings.operatorSecret === undefined
      ? undefined
      : new OperatorListener({
          gate: new Gate(settings.operatorSecret),
          ...parts,
          reporter,
          gauges: () => gaugesOf(parts, summarizer.backlog()),
          publisher: new LogPublisher(log, follower, timer),
          logger: logOf(root, Part.Console),
        });
  const port = await listener?.listen(settings.host, settings.operatorPort);
  return {
    ...(port === undefined ? {} : {port}),
    stop: async () => {
      await summarizer.stop();
      await listener?.close();
    },
  };
}

function gaugesOf(
  {membership, log, peerClient, directory, recorder}: OperatorSight,
  backlog: Backlog,
): InstanceGauges {
  const {status} = membership.self();
  const cpu = process.cpuUsage();
  return {
    configurationVersion: status.configurationVersion,
    liveInstances: membership.live().length,
    queued: status.queued,
    running: status.running,
    memoryBytes: process.memoryUsage.rss(),
    cpuSeconds: (cpu.user + cpu.system) / MICROSECONDS_PER_SECOND,
    traceBytes: recorder.traceUsage().bytes,
    summariesUnsent: backlog.unsent,
    summariesDropped: backlog.dropped,
    logAppends: log.usage.appends,
    logReads: log.usage.reads,
    peerCalls: peerClient.usage.calls,
    peerBytes: peerClient.usage.bytesIn + peerClient.usage.bytesOut,
    upstreams: directory.all().map(upstream => ({
      name: upstream.name,
      inflight: upstream.inflight,
      takesWork: takesWork(upstream),
    })),
  };
}
