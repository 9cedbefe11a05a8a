import type {Logger} from 'pino';
import type {ConfigurationFollower} from '../config/index.js';
import {
  Authenticator,
  LogPublisher,
  OperatorListener,
  type InstanceGauges,
} from '../console/index.js';
import type {
  Membership,
  PeerClient,
  PeerServer,
  Settings,
} from '../instance/index.js';
import type {HttpLog} from '../platform/index.js';
import {
  captureInstanceView,
  Reporter,
  type LeaseView,
} from '../report/index.js';
import {
  componentLogger,
  Component,
  Summarizer,
  type SummaryBacklog,
  type MeteredRecorder,
} from '../telemetry/index.js';
import type {Timer} from '../timer/index.js';
import {takesWork, type Directory} from '../upstream/index.js';

const MICROSECONDS_PER_SECOND = 1_000_000;

/** Dependencies of [[startOperatorServices]]. */
export interface OperatorServiceParts {
  settings: Settings;
  /** Root logger; each component derives its own with [[componentLogger]]. */
  root: Logger;
  timer: Timer;
  /** Client of the platform's durable log. */
  log: HttpLog;
  directory: Directory;
  follower: ConfigurationFollower;
  recorder: MeteredRecorder;
  membership: Membership;
  peerServer: PeerServer;
  peerClient: PeerClient;
  /** Returns the leases of pools that this instance knows of. */
  leases: () => LeaseView[];
}

/**
 * Starts the summaries, the reports and, if an operator secret is configured,
 * the listener for operators. Returns the listener's port, if there is one.
 */
export async function startOperatorServices(
  parts: OperatorServiceParts,
): Promise<{port?: number; stop(): Promise<void>}> {
  const {settings, root, timer, log, directory} = parts;
  const {follower, recorder, membership} = parts;
  // The membership may raise the incarnation later; the figures are of one run.
  const author = {
    instance: settings.instance,
    incarnation: membership.self().incarnation,
  };
  const summarizer = new Summarizer(
    author,
    recorder,
    log,
    timer,
    componentLogger(root, Component.Router),
    () => membership.live().length,
  );
  summarizer.start();
  const reporter = new Reporter({
    ...parts,
    author,
    view: () =>
      captureInstanceView({
        membership,
        directory,
        log,
        timer,
        configuration: () => follower.current(),
        configurationPosition: () => follower.position(),
        backlog: () => summarizer.backlog(),
        leases: parts.leases,
      }),
  });
  const listener =
    settings.operatorSecret === undefined
      ? undefined
      : new OperatorListener({
          authenticator: new Authenticator(settings.operatorSecret),
          ...parts,
          reporter,
          gauges: () => gaugesOf(parts, summarizer.backlog()),
          publisher: new LogPublisher(parts),
          logger: componentLogger(root, Component.Console),
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

/** Reads the current values of the instance's gauges and counters. */
function gaugesOf(
  {membership, log, peerClient, directory, recorder}: OperatorServiceParts,
  backlog: SummaryBacklog,
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
