import type {Logger} from 'pino';
import {
  RetryBudget,
  Endpoints,
  ForwardMetrics,
  ServiceState,
  WaitQueue,
  LivenessProber,
  Listener,
  SpeedEstimator,
  type Address,
  type PromptPart,
  type Protocol,
} from '../forward/index.js';
import {announce, Gossip} from '../fleet/index.js';
import {Credential} from '../instance/credential.js';
import {DatagramPort} from '../instance/datagram.js';
import {
  Follower,
  Registry,
  Topic,
  type RegistryEntry,
  type Feed,
  type KeyedRecord,
} from '../registry/index.js';
import {Routing, type RoutingDocument} from '../route/index.js';
import {
  LogEvent,
  componentLogger,
  Component,
  type OutputLogger,
} from '../telemetry/index.js';
import {SystemTimer, type Subscription, type Timer} from '../timer/index.js';
import {DrainSchedule} from './drainschedule.js';
import {MonitoringServers, type MonitoringPage} from './monitoringservers.js';
import {watchStalls} from './stall.js';

/** Pause between reads of what upstreams say, in ms; a fifth of the time in
 * which an upstream that leaves must get nothing more. */
const UPSTREAMS_PACE_MS = 500;
/** Pause between reads of configurations in quick succession, in ms. */
const CONFIGURATION_PACE_MS = 100;
/** Longest wait of a read, in ms; bounds how long a dead connection is used. */
const READ_WAIT_MS = 1_000;
/** Pause between reads of what instances announce, in ms. */
const INSTANCES_PACE_MS = 1_000;
/** Longest wait of a read of what instances announce, in ms. */
const INSTANCES_WAIT_MS = 8_000;
/** How often it is checked whether every request has ended, in ms. */
const DRAIN_LOOK_MS = 50;
/** Time a closing connection gets for its last bytes, in ms. */
const FLUSH_MS = 100;

/** Port of the metrics page where a platform names none, as deployed. */
export const DEFAULT_METRICS_PORT = 9464;

const SAME_ZONE_MS = 0.4;
const SAME_REGION_MS = 3;
/** Assumed of another region until its way is known. */
const OTHER_REGION_MS = 26;

/** Settings of one gateway, decoded. */
export interface GatewaySettings {
  instance: string;
  /** Address that connections are opened from. */
  host: string;
  zone: string;
  /** Region of each availability zone. */
  regions: Record<string, string>;
  callerAddress: Address;
  readinessAddress: Address;
  metrics?: Address;
  /** Port that the instances of the fleet reach each other at, UDP. */
  gossipPort: number;
  /** Time from the signal to stop to the end of the process, in ms. */
  graceMs: number;
  retry: {ratio: number; windowMs: number};
}

/** What a platform brings to a gateway. */
export interface PlatformAdapter {
  protocol: Protocol;
  feed: Feed;
  /** Path that the balancer asks for readiness. */
  readinessPath: string;
  /** Decodes an operator's record; undefined if it is about something else. */
  decodeConfiguration(
    record: KeyedRecord,
  ): RoutingDocument | {reason: string} | undefined;
  /** Decodes what an upstream says of itself. */
  decodeEntry(key: string, value: Buffer): RegistryEntry | {reason: string};
}

/** A running gateway. */
export interface Gateway {
  /** Port callers reach the gateway at. */
  port: number;
  /** Port the balancer asks for readiness. */
  readinessPort: number;
  /** Takes settings that changed into use. */
  reload(settings: GatewaySettings): void;
  /** Drains; resolves when every request has ended or the grace is over. */
  stop(): Promise<void>;
}

/** Constructs the parts of a gateway, connects them, and starts it. */
export async function startGateway(
  settings: GatewaySettings,
  platform: PlatformAdapter,
  output: OutputLogger,
  timer: Timer = new SystemTimer(),
): Promise<Gateway> {
  const running = new RunningGateway(settings, platform, output, timer);
  await running.start();
  return running;
}

class RunningGateway implements Gateway {
  private readonly logger: Logger;
  private readonly requestLog: Logger;
  private readonly routing: Routing;
  private readonly registry: Registry;
  private readonly endpoints: Endpoints;
  private readonly lanes = new Map<string, ServiceState>();
  private readonly metrics = new ForwardMetrics();
  private readonly probes: LivenessProber;
  private readonly gossip: Gossip;
  private readonly instances: Follower;
  private readonly datagrams: DatagramPort;
  private readonly listener: Listener;
  private readonly configurations: Follower;
  private readonly upstreams: Follower;
  private readonly subscriptions: Subscription[] = [];
  private readonly pages = new MonitoringServers();
  /** Set once the instance stops. */
  private departure?: DrainSchedule;
  private listed = false;
  private wasReady = false;
  port = 0;
  readinessPort = 0;

  constructor(
    private settings: GatewaySettings,
    private readonly platform: PlatformAdapter,
    private readonly output: OutputLogger,
    private readonly timer: Timer,
  ) {
    const root = output.logger;
    this.logger = componentLogger(root, Component.Router);
    this.requestLog = componentLogger(root, Component.Request);
    this.routing = new Routing(componentLogger(root, Component.Config));
    this.endpoints = new Endpoints(settings.host);
    this.probes = new LivenessProber(timer, platform.protocol.probeTarget);
    const registryLog = componentLogger(root, Component.Upstream);
    const follow = {
      feed: platform.feed,
      timer,
      logger: componentLogger(root, Component.Platform),
      random: Math.random,
      waitMs: READ_WAIT_MS,
    };
    this.configurations = new Follower(
      {
        ...follow,
        topic: Topic.Configuration,
        readPauseMs: CONFIGURATION_PACE_MS,
      },
      {
        replaced: records => this.configure(records),
        added: records => this.configure(records),
      },
    );
    this.registry = new Registry({
      decode: (key, value) => platform.decodeEntry(key, value),
      timer,
      logger: registryLog,
      reachableForMs: () => this.upstreams.reachableForMs(),
      changed: () => this.reconcile(),
    });
    this.upstreams = new Follower(
      {...follow, topic: Topic.Upstreams, readPauseMs: UPSTREAMS_PACE_MS},
      {
        replaced: records => {
          this.listed = true;
          this.registry.replace(records);
        },
        added: records => this.registry.add(records),
      },
    );
    this.datagrams = new DatagramPort(new Credential([]), timer);
    this.gossip = new Gossip({
      name: settings.instance,
      datagrams: this.datagrams,
      timer,
      logger: componentLogger(root, Component.Member),
      loads: () => this.endpoints.loads(timer.now()),
      waiting: () => this.waiting(),
      recordPrompt: ({upstream, parts}) =>
        this.endpoints.recordPrompt(
          upstream,
          parts.map(([id, tokens]) => ({id, tokens})),
        ),
    });
    this.instances = new Follower(
      {
        ...follow,
        topic: Topic.Instances,
        readPauseMs: INSTANCES_PACE_MS,
        waitMs: INSTANCES_WAIT_MS,
      },
      {
        replaced: records => this.gossip.updateAddresses(records),
        added: records => this.gossip.updateAddresses(records),
      },
    );
    this.listener = new Listener({
      routing: this.routing,
      protocol: platform.protocol,
      timer,
      logger: this.requestLog,
      metrics: this.metrics,
      random: Math.random,
      serviceStateOf: service => this.laneOf(service),
      promptSent: (endpoint, {parts}) => this.noteReading(endpoint.id, parts),
      isAlive: endpoint => this.probes.isAlive(endpoint),
      canServeFor: limitMs =>
        this.departure?.admits(limitMs, timer.now()) ?? true,
      isDraining: () => this.departure !== undefined,
    });
    this.routing.subscribe(() => this.reconcile());
  }

  async start(): Promise<void> {
    const {
      callerAddress: callers,
      readinessAddress: readiness,
      metrics,
      instance,
      zone,
    } = this.settings;
    this.subscriptions.push(
      this.configurations.start(),
      this.upstreams.start(),
      this.instances.start(),
      this.gossip.start(),
      watchStalls(this.timer, this.logger, {
        checked: () => this.registry.sweep(),
        resumed: () => {
          this.configurations.wake();
          this.upstreams.wake();
        },
      }),
    );
    this.announce();
    this.port = await this.listener.listen(callers);
    this.readinessPort = await this.pages.serve(
      readiness,
      this.platform.readinessPath,
      () => this.ready(),
    );
    if (metrics !== undefined) {
      await this.pages.serve(metrics, '/metrics', () => ({
        status: 200,
        body: this.metrics.exposition(this.gauges()),
      }));
    }
    this.logger.info(
      {event: LogEvent.Started, instance, zone},
      'Instance started.',
    );
  }

  reload(settings: GatewaySettings): void {
    this.settings = settings;
    for (const {retryBudget: allowance} of this.lanes.values()) {
      allowance.setRatio(settings.retry);
    }
    this.logger.info({event: LogEvent.Reloaded}, 'Settings were read again.');
  }

  async stop(): Promise<void> {
    const {timer, listener} = this;
    const departure = new DrainSchedule(timer.now(), this.settings.graceMs);
    this.departure = departure;
    this.logger.info(
      {event: LogEvent.Stopping, inflight: listener.inflight},
      'Leaving: not ready any more, finishing what is in flight.',
    );
    while (timer.now() < departure.deadlineAt) {
      await timer.sleep(DRAIN_LOOK_MS);
      if (!departure.mayReceiveConnections(timer.now())) {
        listener.closeIdle();
        if (listener.inflight === 0) break;
      }
    }
    for (const subscription of this.subscriptions) subscription.end();
    listener.close();
    this.pages.close();
    this.datagrams.close();
    await timer.sleep(FLUSH_MS);
    this.logger.info(
      {event: LogEvent.Stopped, unfinished: listener.inflight},
      'Instance stopped.',
    );
  }

  /** Tells the fleet where this instance is reached, without waiting for it. */
  private announce(): void {
    const {host, gossipPort: port, instance} = this.settings;
    void announce({
      name: instance,
      address: {host, port},
      datagrams: this.datagrams,
      feed: this.platform.feed,
      timer: this.timer,
      logger: componentLogger(this.output.logger, Component.Member),
      isLeaving: () => this.departure !== undefined,
    });
  }

  private configure(records: KeyedRecord[]): void {
    for (const record of records) {
      const document = this.platform.decodeConfiguration(record);
      if (document === undefined) continue;
      if ('reason' in document) {
        this.logger.warn(
          {event: LogEvent.Configuration, offset: record.offset, ...document},
          'Ignored a configuration that can not be used.',
        );
      } else this.routing.accept(document);
    }
  }

  private waiting(): Array<[string, number]> {
    return [...this.lanes]
      .map(([service, {waitQueue: line}]): [string, number] => [
        service,
        line.waitingTier(),
      ])
      .filter(([, tier]) => tier !== Infinity);
  }

  private noteReading(upstream: string, parts: readonly PromptPart[]): void {
    this.gossip.addPrompt({
      upstream,
      parts: parts.map(({id, tokens}) => [id, tokens]),
    });
  }

  private reconcile(): void {
    this.endpoints.apply(this.registry.usable(), this.routing.current());
    for (const {waitQueue: line} of this.lanes.values()) line.placeWaiting();
  }

  private laneOf(service: string): ServiceState {
    const known = this.lanes.get(service);
    if (known !== undefined) return known;
    const speeds = new SpeedEstimator();
    const line = new WaitQueue({
      waitingTierElsewhere: () =>
        this.gossip.peerLoads.waitingTier(service, this.timer.now()),
      announceLoad: () => this.gossip.send(),
      fleetSize: () => 1 + this.gossip.peerLoads.countActive(this.timer.now()),
      remoteLoadOf: id => this.gossip.peerLoads.loadOn(id, this.timer.now()),
      timer: this.timer,
      logger: this.requestLog,
      random: Math.random,
      speeds: speeds,
      endpoints: () => this.endpoints.readyOf(service),
      roundTripMs: zone => this.roundTripMs(zone),
    });
    const allowance = new RetryBudget(this.settings.retry);
    const lane = new ServiceState(service, line, allowance, speeds);
    this.lanes.set(service, lane);
    return lane;
  }

  private roundTripMs(zone: string): number {
    const {settings} = this;
    if (zone === settings.zone) return SAME_ZONE_MS;
    return settings.regions[zone] === settings.regions[settings.zone]
      ? SAME_REGION_MS
      : OTHER_REGION_MS;
  }

  private ready(): MonitoringPage {
    const table = this.routing.current();
    const isReady =
      this.departure === undefined && table !== undefined && this.listed;
    if (isReady !== this.wasReady) {
      this.wasReady = isReady;
      this.logger.info(
        {
          event: LogEvent.Readiness,
          ready: isReady,
          version: table?.version,
          listed: this.listed,
          leaving: this.departure !== undefined,
        },
        isReady
          ? 'Ready for new connections.'
          : 'Not ready for new connections.',
      );
    }
    return {
      status: isReady ? 200 : 503,
      body: JSON.stringify({ready: isReady, version: table?.version ?? null}),
    };
  }

  private gauges(): Record<string, number> {
    const usage = process.cpuUsage();
    return {
      configuration_version: this.routing.current()?.version ?? 0,
      configuration_age_ms: this.configurations.ageMs() ?? -1,
      upstreams_age_ms: this.upstreams.ageMs() ?? -1,
      inflight: this.listener.inflight,
      waiting: this.sumOverLanes(({waitQueue: line}) => line.length),
      repeats_left: this.sumOverLanes(({retryBudget: allowance}) =>
        allowance.remaining(this.timer.now()),
      ),
      other_instances: this.gossip.peerLoads.countActive(this.timer.now()),
      connections_opened_total: this.endpoints.openedConnections(),
      log_lines_dropped_total: this.output.dropped(),
      memory_bytes: process.memoryUsage.rss(),
      cpu_seconds_total: (usage.user + usage.system) / 1e6,
    };
  }

  private sumOverLanes(count: (lane: ServiceState) => number): number {
    return [...this.lanes.values()].reduce((sum, lane) => sum + count(lane), 0);
  }
}
