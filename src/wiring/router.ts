import type {Logger} from 'pino';
import {
  SchedulingPolicy,
  createScheduler,
  type ManagedScheduler,
} from '../admission/index.js';
import {Claims} from '../claim/index.js';
import type {ConfigurationFollower} from '../config/index.js';
import {Credential, CallerListener, type Settings} from '../instance/index.js';
import {
  unlimitedRetries,
  Executor,
  Resumption,
  RetryBudget,
} from '../request/index.js';
import {
  componentLogger,
  MeteredRecorder,
  nullRecorder,
  Component,
  type Recorder,
} from '../telemetry/index.js';
import {SystemTimer, type Timer} from '../timer/index.js';
import {Directory} from '../upstream/index.js';
import {
  openSharedDependencies,
  type SharedDependencies,
} from './shareddependencies.js';
import {createConfigurationSync} from './configurationsync.js';
import {trackLeavingUpstreams} from './leavingupstreams.js';
import {startOperatorServices} from './operatorservices.js';
import {leaseViews, createEngineOrders} from './engineorders.js';
import {openPeerNetwork, type PeerNetwork} from './peernetwork.js';

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

/** The parts that serve callers. */
interface Serving {
  entrance: CallerListener;
  decisions: ManagedScheduler;
}

/**
 * Constructs every part of an instance, connects them, and starts it. The
 * modules of this folder are the only ones that know all parts.
 */
export async function startRouter(
  settings: Settings,
  root: Logger,
  timer: Timer = new SystemTimer(),
): Promise<Router> {
  const base = openSharedDependencies(settings, root, timer);
  const peers = await openPeerNetwork(base);
  const {membership} = peers;
  const configuring = createConfigurationSync(base, peers);
  const {follower} = configuring;
  const directory = new Directory(settings.host);
  const looking = trackLeavingUpstreams(base, peers, directory, follower);
  const metered = new MeteredRecorder(timer);
  const recorder = settings.telemetry === 'on' ? metered : nullRecorder;
  const {entrance, decisions} = openServing(
    base,
    peers,
    directory,
    follower,
    recorder,
  );
  const ordering = createEngineOrders(base, membership, directory, follower);
  const operators = await startOperatorServices({
    settings,
    root,
    timer,
    log: base.log,
    directory,
    follower,
    recorder: metered,
    membership,
    peerServer: peers.server,
    peerClient: peers.client,
    leases: () => leaseViews(ordering.leases, follower, timer),
  });
  await peers.start();
  decisions.start();
  ordering.start();
  configuring.start();
  const port = await entrance.listen(settings.host, settings.port);
  componentLogger(root, Component.Router).info(
    {port},
    'Listening for callers.',
  );
  return {
    port,
    peerPort: peers.port,
    ...(operators.port === undefined ? {} : {operatorPort: operators.port}),
    stop: async () => {
      await membership.leave();
      const drained = entrance.drain();
      await ordering.stop();
      await drained;
      looking.end();
      decisions.stop();
      await operators.stop();
      await configuring.stop();
      await peers.stop();
      await directory.close();
      await base.agent.close();
    },
  };
}

function openServing(
  {settings, root, timer, log, random}: SharedDependencies,
  {membership, client, server}: PeerNetwork,
  directory: Directory,
  follower: ConfigurationFollower,
  recorder: Recorder,
): Serving {
  const decisions = createScheduler(settings.policy, {
    directory,
    membership,
    timer,
    recorder,
    zone: settings.zone,
    random,
  });
  follower.subscribe(({document}) => decisions.apply(document));
  const claims = new Claims({
    log,
    timer,
    membership,
    client,
    server,
    logger: componentLogger(root, Component.Claim),
    windowMs: settings.keyWindowMs,
  });
  const blind = settings.policy === SchedulingPolicy.Baseline;
  const executor = new Executor({
    recorder,
    scheduler: decisions.scheduler,
    timer,
    claims,
    retries: blind ? unlimitedRetries : new RetryBudget(timer),
    unfinishedRuns: new Set(),
  });
  const resumption = new Resumption({
    signer: new Credential(settings.peerSecrets),
    timer,
    upstream: name => directory.all().find(item => item.name === name),
  });
  const entrance = new CallerListener({
    follower,
    executor,
    resumption,
    timer,
    logger: componentLogger(root, Component.Request),
  });
  return {entrance, decisions};
}
