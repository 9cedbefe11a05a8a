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
  /** Port that accepts requests of callers. */
  port: number;
  /** Port that accepts connections of peers. */
  peerPort: number;
  /** Port that serves operators; absent if no operator secret is set. */
  operatorPort?: number;
  /** Drains; resolves when all requests ended and everything is closed. */
  stop(): Promise<void>;
}

/** Components that serve the requests of callers. */
interface CallerServices {
  entrance: CallerListener;
  requestScheduling: ManagedScheduler;
}

/**
 * Creates the components of an instance, connects them, and starts it. Only the
 * modules of this folder depend on all components.
 */
export async function startRouter(
  settings: Settings,
  root: Logger,
  timer: Timer = new SystemTimer(),
): Promise<Router> {
  const shared = openSharedDependencies(settings, root, timer);
  const peerNetwork = await openPeerNetwork(shared);
  const {membership} = peerNetwork;
  const configurationSync = createConfigurationSync(shared, peerNetwork);
  const {follower} = configurationSync;
  const directory = new Directory(settings.host);
  const leavingSubscription = trackLeavingUpstreams(
    shared,
    peerNetwork,
    directory,
    follower,
  );
  const meteredRecorder = new MeteredRecorder(timer);
  const recorder = settings.telemetry === 'on' ? meteredRecorder : nullRecorder;
  const {entrance, requestScheduling} = createCallerServices(
    shared,
    peerNetwork,
    directory,
    follower,
    recorder,
  );
  const engineOrders = createEngineOrders(
    shared,
    membership,
    directory,
    follower,
  );
  const operatorServices = await startOperatorServices({
    settings,
    root,
    timer,
    log: shared.log,
    directory,
    follower,
    recorder: meteredRecorder,
    membership,
    peerServer: peerNetwork.server,
    peerClient: peerNetwork.client,
    leases: () => leaseViews(engineOrders.leases, follower, timer),
  });
  await peerNetwork.start();
  requestScheduling.start();
  engineOrders.start();
  configurationSync.start();
  const port = await entrance.listen(settings.host, settings.port);
  componentLogger(root, Component.Router).info(
    {port},
    'Listening for callers.',
  );
  return {
    port,
    peerPort: peerNetwork.port,
    ...(operatorServices.port === undefined
      ? {}
      : {operatorPort: operatorServices.port}),
    stop: async () => {
      await membership.leave();
      const drained = entrance.drain();
      await engineOrders.stop();
      await drained;
      leavingSubscription.end();
      requestScheduling.stop();
      await operatorServices.stop();
      await configurationSync.stop();
      await peerNetwork.stop();
      await directory.close();
      await shared.agent.close();
    },
  };
}

function createCallerServices(
  {settings, root, timer, log, random}: SharedDependencies,
  {membership, client, server}: PeerNetwork,
  directory: Directory,
  follower: ConfigurationFollower,
  recorder: Recorder,
): CallerServices {
  const requestScheduling = createScheduler(settings.policy, {
    directory,
    membership,
    timer,
    recorder,
    zone: settings.zone,
    random,
  });
  follower.subscribe(({document}) => requestScheduling.apply(document));
  const claims = new Claims({
    log,
    timer,
    membership,
    client,
    server,
    logger: componentLogger(root, Component.Claim),
    windowMs: settings.keyWindowMs,
  });
  const isBaseline = settings.policy === SchedulingPolicy.Baseline;
  const executor = new Executor({
    recorder,
    scheduler: requestScheduling.scheduler,
    timer,
    claims,
    retries: isBaseline ? unlimitedRetries : new RetryBudget(timer),
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
  return {entrance, requestScheduling};
}
