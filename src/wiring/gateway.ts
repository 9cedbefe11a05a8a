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

/**
 * Pause between reads of the upstreams' entries, in ms; a fifth of the time
 * after which a leaving upstream must not receive new requests.
 */
const UPSTREAMS_READ_PAUSE_MS = 500;
/** Pause between a read that found configurations and the next one, in ms. */
const CONFIGURATION_READ_PAUSE_MS = 100;
/**
 * Longest wait of a read for new records, in ms; bounds how long a dead
 * connection stays in use.
 */
const MAX_READ_WAIT_MS = 1_000;
/** Pause between reads of the addresses of instances, in ms. */
const INSTANCES_READ_PAUSE_MS = 1_000;
/** Longest wait of a read for new addresses of instances, in ms. */
const MAX_INSTANCES_READ_WAIT_MS = 8_000;
/** How often a drain checks whether every request has ended, in ms. */
const DRAIN_CHECK_PERIOD_MS = 50;
/** Time for closing connections to send their last bytes, in ms. */
const FLUSH_MS = 100;

/** Port of /metrics in the deployment, if the settings name no other. */
export const DEFAULT_METRICS_PORT = 9464;

/** Network round-trip time to an upstream in the same zone, in ms. */
const SAME_ZONE_ROUND_TRIP_MS = 0.4;
/** Round-trip time to another zone of the same region, in ms. */
const SAME_REGION_ROUND_TRIP_MS = 3;
/** Round-trip time assumed for any other region, in ms. */
const OTHER_REGION_ROUND_TRIP_MS = 26;

/** Decoded settings of one gateway. */
export interface GatewaySettings {
  /** Name of this instance. */
  instance: string;
  /** Local address of outgoing connections and of gossip. */
  host: string;
  /** Availability zone of this instance. */
  zone: string;
  /** Region of each availability zone. */
  regions: Record<string, string>;
  /** Address to listen on for requests of callers. */
  callerAddress: Address;
  /** Address that serves the readiness check of the load balancer. */
  readinessAddress: Address;
  /** Address that serves /metrics; not served if absent. */
  metricsAddress?: Address;
  /** UDP port for gossip with the other instances. */
  gossipPort: number;
  /** Time from the stop signal to the end of the process, in ms. */
  graceMs: number;
  /** Retries allowed per first attempt, counted over a sliding window. */
  retry: {ratio: number; windowMs: number};
}

/** Adapter of a gateway to the platform that it is deployed on. */
export interface PlatformAdapter {
  /** Headers of requests and answers. */
  protocol: Protocol;
  /** Source of configurations, upstreams and addresses of instances. */
  feed: Feed;
  /** URL path of the readiness check. */
  readinessPath: string;
  /**
   * Decodes a record of the configuration topic. Returns undefined for a record
   * that holds no configuration, and a reason for one that is invalid.
   */
  decodeConfiguration(
    record: KeyedRecord,
  ): RoutingDocument | {reason: string} | undefined;
  /** Decodes the entry of an upstream; returns a reason if it is invalid. */
  decodeEntry(key: string, value: Buffer): RegistryEntry | {reason: string};
}

/** A running gateway. */
export interface Gateway {
  /** Port that accepts requests of callers. */
  port: number;
  /** Port that serves the readiness check. */
  readinessPort: number;
  /** Applies changed settings; open ports and connections stay. */
  reload(settings: GatewaySettings): void;
  /** Drains; resolves when all requests ended or the grace period is over. */
  stop(): Promise<void>;
}

/** Creates the components of a gateway, connects them, and starts it. */
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
  private readonly requestLogger: Logger;
  private readonly routing: Routing;
  private readonly registry: Registry;
  private readonly endpoints: Endpoints;
  private readonly services = new Map<string, ServiceState>();
  private readonly metrics = new ForwardMetrics();
  private readonly probes: LivenessProber;
  private readonly gossip: Gossip;
  private readonly instanceFollower: Follower;
  private readonly datagrams: DatagramPort;
  private readonly listener: Listener;
  private readonly configurationFollower: Follower;
  private readonly upstreamFollower: Follower;
  private readonly subscriptions: Subscription[] = [];
  private readonly monitoringServers = new MonitoringServers();
  /** Set when the instance begins to drain. */
  private drainSchedule?: DrainSchedule;
  /** Whether the first snapshot of the upstreams was read. */
  private hasUpstreamList = false;
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
    this.requestLogger = componentLogger(root, Component.Request);
    this.routing = new Routing(componentLogger(root, Component.Config));
    this.endpoints = new Endpoints(settings.host);
    this.probes = new LivenessProber(timer, platform.protocol.probeTarget);
    const registryLogger = componentLogger(root, Component.Upstream);
    const followerOptions = {
      feed: platform.feed,
      timer,
      logger: componentLogger(root, Component.Platform),
      random: Math.random,
      waitMs: MAX_READ_WAIT_MS,
    };
    this.configurationFollower = new Follower(
      {
        ...followerOptions,
        topic: Topic.Configuration,
        readPauseMs: CONFIGURATION_READ_PAUSE_MS,
      },
      {
        replaced: records => this.applyConfigurations(records),
        added: records => this.applyConfigurations(records),
      },
    );
    this.registry = new Registry({
      decode: (key, value) => platform.decodeEntry(key, value),
      timer,
      logger: registryLogger,
      reachableForMs: () => this.upstreamFollower.reachableForMs(),
      changed: () => this.updateEndpoints(),
    });
    this.upstreamFollower = new Follower(
      {
        ...followerOptions,
        topic: Topic.Upstreams,
        readPauseMs: UPSTREAMS_READ_PAUSE_MS,
      },
      {
        replaced: records => {
          this.hasUpstreamList = true;
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
      waiting: () => this.waitingTiers(),
      recordPrompt: ({upstream, parts}) =>
        this.endpoints.recordPrompt(
          upstream,
          parts.map(([id, tokens]) => ({id, tokens})),
        ),
    });
    this.instanceFollower = new Follower(
      {
        ...followerOptions,
        topic: Topic.Instances,
        readPauseMs: INSTANCES_READ_PAUSE_MS,
        waitMs: MAX_INSTANCES_READ_WAIT_MS,
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
      logger: this.requestLogger,
      metrics: this.metrics,
      random: Math.random,
      serviceStateOf: service => this.serviceStateOf(service),
      promptSent: (endpoint, {parts}) => this.gossipPrompt(endpoint.id, parts),
      isAlive: endpoint => this.probes.isAlive(endpoint),
      canServeFor: timeoutMs =>
        this.drainSchedule?.admits(timeoutMs, timer.now()) ?? true,
      isDraining: () => this.drainSchedule !== undefined,
    });
    this.routing.subscribe(() => this.updateEndpoints());
  }

  async start(): Promise<void> {
    const {callerAddress, readinessAddress, metricsAddress, instance, zone} =
      this.settings;
    this.subscriptions.push(
      this.configurationFollower.start(),
      this.upstreamFollower.start(),
      this.instanceFollower.start(),
      this.gossip.start(),
      watchStalls(this.timer, this.logger, {
        checked: () => this.registry.sweep(),
        resumed: () => {
          this.configurationFollower.wake();
          this.upstreamFollower.wake();
        },
      }),
    );
    this.announceInstance();
    this.port = await this.listener.listen(callerAddress);
    this.readinessPort = await this.monitoringServers.serve(
      readinessAddress,
      this.platform.readinessPath,
      () => this.readinessPage(),
    );
    if (metricsAddress !== undefined) {
      await this.monitoringServers.serve(metricsAddress, '/metrics', () => ({
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
    for (const {retryBudget: allowance} of this.services.values()) {
      allowance.setRatio(settings.retry);
    }
    this.logger.info(
      {event: LogEvent.Reloaded},
      'Applied the changed settings.',
    );
  }

  async stop(): Promise<void> {
    const {timer, listener} = this;
    const drainSchedule = new DrainSchedule(timer.now(), this.settings.graceMs);
    this.drainSchedule = drainSchedule;
    this.logger.info(
      {event: LogEvent.Stopping, inflight: listener.inflight},
      'Draining: no longer ready, finishing the requests in flight.',
    );
    while (timer.now() < drainSchedule.deadlineAt) {
      await timer.sleep(DRAIN_CHECK_PERIOD_MS);
      if (!drainSchedule.mayReceiveConnections(timer.now())) {
        listener.closeIdle();
        if (listener.inflight === 0) break;
      }
    }
    for (const subscription of this.subscriptions) subscription.end();
    listener.close();
    this.monitoringServers.close();
    this.datagrams.close();
    await timer.sleep(FLUSH_MS);
    this.logger.info(
      {event: LogEvent.Stopped, unfinished: listener.inflight},
      'Instance stopped.',
    );
  }

  /** Publishes the gossip address of this instance in the background. */
  private announceInstance(): void {
    const {host, gossipPort: port, instance} = this.settings;
    void announce({
      name: instance,
      address: {host, port},
      datagrams: this.datagrams,
      feed: this.platform.feed,
      timer: this.timer,
      logger: componentLogger(this.output.logger, Component.Member),
      isLeaving: () => this.drainSchedule !== undefined,
    });
  }

  /** Passes valid configurations to the routing and logs invalid ones. */
  private applyConfigurations(records: KeyedRecord[]): void {
    for (const record of records) {
      const document = this.platform.decodeConfiguration(record);
      if (document === undefined) continue;
      if ('reason' in document) {
        this.logger.warn(
          {event: LogEvent.Configuration, offset: record.offset, ...document},
          'Ignored an invalid configuration.',
        );
      } else this.routing.accept(document);
    }
  }

  /** For each service, the most urgent tier with a long-waiting request. */
  private waitingTiers(): Array<[string, number]> {
    return [...this.services]
      .map(([service, {waitQueue: line}]): [string, number] => [
        service,
        line.waitingTier(),
      ])
      .filter(([, tier]) => tier !== Infinity);
  }

  /** Tells the other instances of a prompt that was sent to an upstream. */
  private gossipPrompt(upstream: string, parts: readonly PromptPart[]): void {
    this.gossip.addPrompt({
      upstream,
      parts: parts.map(({id, tokens}) => [id, tokens]),
    });
  }

  /** Applies the usable upstreams, and places requests that can run now. */
  private updateEndpoints(): void {
    this.endpoints.apply(this.registry.usable(), this.routing.current());
    for (const {waitQueue} of this.services.values()) waitQueue.placeWaiting();
  }

  /** Returns the state of a service, which the first request creates. */
  private serviceStateOf(service: string): ServiceState {
    const existing = this.services.get(service);
    if (existing !== undefined) return existing;
    const speedEstimator = new SpeedEstimator();
    const waitQueue = new WaitQueue({
      waitingTierElsewhere: () =>
        this.gossip.peerLoads.waitingTier(service, this.timer.now()),
      announceLoad: () => this.gossip.send(),
      fleetSize: () => 1 + this.gossip.peerLoads.countActive(this.timer.now()),
      remoteLoadOf: id => this.gossip.peerLoads.loadOn(id, this.timer.now()),
      timer: this.timer,
      logger: this.requestLogger,
      random: Math.random,
      speeds: speedEstimator,
      endpoints: () => this.endpoints.readyOf(service),
      roundTripMs: zone => this.roundTripMs(zone),
    });
    const retryBudget = new RetryBudget(this.settings.retry);
    const state = new ServiceState(
      service,
      waitQueue,
      retryBudget,
      speedEstimator,
    );
    this.services.set(service, state);
    return state;
  }

  private roundTripMs(zone: string): number {
    const {settings} = this;
    if (zone === settings.zone) return SAME_ZONE_ROUND_TRIP_MS;
    return settings.regions[zone] === settings.regions[settings.zone]
      ? SAME_REGION_ROUND_TRIP_MS
      : OTHER_REGION_ROUND_TRIP_MS;
  }

  /** Answers the readiness check and logs each change of readiness. */
  private readinessPage(): MonitoringPage {
    const table = this.routing.current();
    const isReady =
      this.drainSchedule === undefined &&
      table !== undefined &&
      this.hasUpstreamList;
    if (isReady !== this.wasReady) {
      this.wasReady = isReady;
      this.logger.info(
        {
          event: LogEvent.Readiness,
          ready: isReady,
          version: table?.version,
          listed: this.hasUpstreamList,
          leaving: this.drainSchedule !== undefined,
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

  /** Current values of the gauges and counters of /metrics, by name. */
  private gauges(): Record<string, number> {
    const cpu = process.cpuUsage();
    return {
      configuration_version: this.routing.current()?.version ?? 0,
      configuration_age_ms: this.configurationFollower.ageMs() ?? -1,
      upstreams_age_ms: this.upstreamFollower.ageMs() ?? -1,
      inflight: this.listener.inflight,
      waiting: this.sumOverServices(({waitQueue: line}) => line.length),
      repeats_left: this.sumOverServices(({retryBudget: allowance}) =>
        allowance.remaining(this.timer.now()),
      ),
      other_instances: this.gossip.peerLoads.countActive(this.timer.now()),
      connections_opened_total: this.endpoints.openedConnections(),
      log_lines_dropped_total: this.output.dropped(),
      memory_bytes: process.memoryUsage.rss(),
      cpu_seconds_total: (cpu.user + cpu.system) / 1e6,
    };
  }

  private sumOverServices(count: (state: ServiceState) => number): number {
    return [...this.services.values()].reduce(
      (sum, state) => sum + count(state),
      0,
    );
  }
}
