import {Agent} from 'undici';
import type {Logger} from 'pino';
import {Policy, scheduling} from './admission/index.js';
import {Claims} from './claim/index.js';
import {Follower, Renewal} from './config/index.js';
import {
  addressOf,
  connectLeaving,
  Credential,
  DatagramPort,
  Discovery,
  Entrance,
  Fleet,
  markUpstreams,
  openPeerPorts,
  Passing,
  PeerClient,
  PeerServer,
  readTlsFiles,
  serveMembers,
  serveUsage,
  Synchronizer,
  type PeerAddress,
  type Settings,
} from './instance/index.js';
import {Candidates, LeaseManager} from './lease/index.js';
import {startOperators} from './operators.js';
import {EngineClient, OrderManager} from './order/index.js';
import {
  HttpInstanceList,
  HttpLog,
  HttpWeightStore,
  Meter,
  meteredConnector,
} from './platform/index.js';
import type {LeaseView} from './report/index.js';
import {
  blindRetries,
  Executor,
  Resumption,
  RetryBudget,
} from './request/index.js';
import {logOf, MeteredRecorder, nullRecorder, Part} from './telemetry/index.js';
import {SystemTimer, type Subscription, type Timer} from './timer/index.js';
import {Directory, LeavingRegister} from './upstream/index.js';

const PLATFORM_CONNECTIONS = 8;
const ORDER_ROUNDS_PER_TERM = 3;

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

/** What every part is constructed with. */
interface Base {
  settings: Settings;
  root: Logger;
  timer: Timer;
  random: () => number;
  /** Connections to the platform. */
  agent: Agent;
  /** Counts the bytes of those connections. */
  meter: Meter;
  log: HttpLog;
}

/** The parts that talk to other instances. */
interface Peers {
  port: number;
  server: PeerServer;
  client: PeerClient;
  membership: Fleet;
  discovery?: Discovery;
  start(): Promise<void>;
  stop(): Promise<void>;
}

/** The parts that keep the configuration in force. */
interface Configuring {
  follower: Follower;
  start(): void;
  stop(): Promise<void>;
}

/** The parts that give orders to engines. */
interface Ordering {
  leases: LeaseManager;
  start(): void;
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
  const base = openBase(settings, root, timer);
  const {agent, log} = base;
  const peers = await openPeers(base);
  const {membership} = peers;
  const configuring = openConfiguring(base, peers);
  const {follower} = configuring;
  const directory = new Directory(settings.host);
  const looking = openLeaving(base, peers, directory, follower);
  const metered = new MeteredRecorder(timer);
  const recorder = settings.telemetry === 'on' ? metered : nullRecorder;
  const decisions = scheduling(settings.policy, {
    directory,
    membership,
    timer,
    recorder,
    zone: settings.zone,
    random: base.random,
  });
  follower.subscribe(({document}) => decisions.apply(document));
  const claims = new Claims({
    log,
    timer,
    membership,
    client: peers.client,
    server: peers.server,
    logger: logOf(root, Part.Claim),
    windowMs: settings.keyWindowMs,
  });
  const executor = new Executor({
    recorder,
    scheduler: decisions.scheduler,
    timer,
    claims,
    retries:
      settings.policy === Policy.Baseline
        ? blindRetries
        : new RetryBudget(timer),
    committed: new Set(),
  });
  const resumption = new Resumption({
    signer: new Credential(settings.peerSecrets),
    timer,
    upstream: name => directory.all().find(item => item.name === name),
  });
  const entrance = new Entrance({
    follower,
    executor,
    resumption,
    timer,
    logger: logOf(root, Part.Request),
  });
  const ordering = openOrdering(base, membership, directory, follower);
  const operators = await startOperators({
    settings,
    root,
    timer,
    log,
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
  logOf(root, Part.Router).info({port}, 'Listening for callers.');
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
      await agent.close();
    },
  };
}

function openBase(settings: Settings, root: Logger, timer: Timer): Base {
  const meter = new Meter();
  const agent = new Agent({
    connections: PLATFORM_CONNECTIONS,
    connect: meteredConnector(meter),
    localAddress: settings.host,
  });
  const log = new HttpLog(settings.logUrl, agent);
  return {settings, root, timer, random: Math.random, agent, meter, log};
}

async function openPeers(base: Base): Promise<Peers> {
  const {settings, timer, random} = base;
  const credential = new Credential(settings.peerSecrets);
  const tls = readTlsFiles(settings);
  const server = new PeerServer(credential, tls);
  const client = new PeerClient(credential, settings.host, tls);
  const datagrams = new DatagramPort(credential, timer);
  const port = await openPeerPorts(server, datagrams, settings);
  const logger = logOf(base.root, Part.Member);
  const membership = new Fleet(
    {
      name: settings.instance,
      incarnation: timer.wallNow(),
      zone: settings.zone,
      ...advertised(settings, port),
    },
    {datagrams, timer, logger, random},
  );
  const seeds = settings.seeds.map(addressOf);
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
  {settings, agent, timer, root, random}: Base,
  membership: Fleet,
  synchronizer: Synchronizer,
): Discovery | undefined {
  if (settings.listUrl === undefined) return undefined;
  return new Discovery({
    list: new HttpInstanceList(settings.listUrl, agent),
    membership,
    synchronizer,
    timer,
    logger: logOf(root, Part.Member),
    random,
  });
}

function openConfiguring(base: Base, peers: Peers): Configuring {
  const {log, timer, random, settings} = base;
  const {membership} = peers;
  const logger = logOf(base.root, Part.Config);
  const passing = new Passing(membership, peers.client, random);
  const follower = new Follower(log, timer, logger, passing, random);
  passing.serve(peers.server, follower);
  const renewal = new Renewal({
    log,
    follower,
    peers: passing,
    timer,
    logger,
    retentionMs: settings.logRetentionMs,
  });
  follower.subscribe(({version}) =>
    membership.report({configurationVersion: version}),
  );
  membership.subscribeVersion(version => {
    void follower.wake(version);
  });
  return {
    follower,
    start: () => {
      follower.start();
      renewal.start();
    },
    stop: async () => {
      await renewal.stop();
      await follower.stop();
    },
  };
}

function openLeaving(
  {timer}: Base,
  {membership, server, discovery}: Peers,
  directory: Directory,
  follower: Follower,
): Subscription {
  const parts = {
    register: new LeavingRegister(timer),
    directory,
    fleet: membership,
    server,
    timer,
    ...(discovery === undefined ? {} : {discovery}),
  };
  const looking = connectLeaving(parts);
  follower.subscribe(({document}) => {
    directory.apply(document);
    parts.register.configure(document);
    markUpstreams(parts);
  });
  return looking;
}

function openOrdering(
  {settings, root, agent, log, timer}: Base,
  membership: Fleet,
  directory: Directory,
  follower: Follower,
): Ordering {
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
  const {weightsUrl} = settings;
  const orders = new OrderManager({
    leases,
    directory,
    client: new EngineClient(settings.orderToken),
    ...(weightsUrl === undefined
      ? {}
      : {weights: new HttpWeightStore(weightsUrl, agent)}),
    timer,
    logger: logOf(root, Part.Order),
    instance: settings.instance,
    roundMs: settings.leaseTermMs / ORDER_ROUNDS_PER_TERM,
  });
  follower.subscribe(({document}) => orders.apply(document));
  return {
    leases,
    start: () => leases.start(),
    stop: async () => {
      await orders.stop();
      await leases.stop();
    },
  };
}

function advertised(settings: Settings, peerPort: number): PeerAddress {
  return settings.advertise === undefined
    ? {host: settings.host, port: peerPort}
    : addressOf(settings.advertise);
}

/** The leases of pools, as far as this instance knows them. */
function leaseViews(
  leases: LeaseManager,
  follower: Follower,
  timer: Timer,
): LeaseView[] {
  const pools = follower.current()?.document.pools ?? [];
  return pools.flatMap(({name}) => {
    const holder = leases.holderOf(name);
    if (holder === undefined) return [];
    const held = leases.held(name);
    if (held === undefined) return [{name, holder}];
    const remainingMs = held.until - timer.now();
    return [{name, holder, fencingNumber: held.fencing, remainingMs}];
  });
}
