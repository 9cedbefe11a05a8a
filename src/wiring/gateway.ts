import {setMaxListeners} from 'node:events';
import type {Logger} from 'pino';
import {
  Answers,
  Endpoints,
  ForwardMetrics,
  LivenessProber,
  Listener,
  PromptGuard,
  ResponseObserver,
  UpstreamNotices,
  Witnesses,
} from '../forward/index.js';
import {Quarantines} from '../quarantine/index.js';
import {Registry} from '../registry/index.js';
import {Path} from '../relay/index.js';
import {Routing} from '../route/index.js';
import {
  LogEvent,
  componentLogger,
  Component,
  type OutputLogger,
} from '../telemetry/index.js';
import {SystemTimer, type Subscription, type Timer} from '../timer/index.js';
import {callerBoundsOf} from './callerbounds.js';
import {ConfigurationRecords} from './configurationrecords.js';
import {DrainSchedule} from './drainschedule.js';
import {EventLoopLag} from './eventlooplag.js';
import type {GatewaySettings} from './gatewaysettings.js';
import {NetworkTransport} from './fleettransport.js';
import {GatewayFleet} from './gatewayfleet.js';
import {MonitoringServers, type MonitoringPage} from './monitoringservers.js';
import {LimitedUpstreams} from './limitedupstreams.js';
import type {PlatformAdapter} from './platformadapter.js';
import {processGauges} from './processgauges.js';
import {Readiness} from './readiness.js';
import {Relays} from './relays.js';
import {ServiceStates} from './servicestates.js';
import {watchStalls} from './stall.js';
import {untilCurrent} from './untilcurrent.js';

/** How often a drain checks whether every request has ended, in ms. */
const DRAIN_CHECK_PERIOD_MS = 50;
/** Time for closing connections to send their last bytes, in ms. */
const FLUSH_MS = 100;

/** A running gateway. */
export interface Gateway {
  /** Port that accepts requests of callers. */
  port: number;
  /** Port that serves the readiness check. */
  readinessPort: number;
  /** Applies changed settings; open ports and connections stay. */
  reload(settings: GatewaySettings): void;
  /**
   * Drains; resolves when all requests ended and their responses are sent, or
   * when the grace period is over. Further calls have no effect on the drain.
   */
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
  private readonly transport: NetworkTransport;
  private readonly relays: Relays;
  private readonly endpoints: Endpoints;
  private readonly services: ServiceStates;
  private readonly metrics = new ForwardMetrics();
  private readonly lag: EventLoopLag;
  private readonly answers: Answers;
  private readonly observer: ResponseObserver;
  private readonly probes: LivenessProber;
  private readonly promptGuard: PromptGuard;
  private readonly fleet: GatewayFleet;
  private readonly listener: Listener;
  private readonly subscriptions: Subscription[] = [];
  private readonly monitoringServers = new MonitoringServers();
  /** Set when the instance begins to drain. */
  private drainSchedule?: DrainSchedule;
  /** Resolves when the instance has stopped; set when it begins to drain. */
  private stopped?: Promise<void>;
  /** Aborts at the end of the drain. */
  private readonly endController = new AbortController();
  /** Whether the first snapshot of the upstreams was read. */
  private hasUpstreamList = false;
  private readonly readiness: Readiness;
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
    // Each request listens to it.
    setMaxListeners(0, this.endController.signal);
    this.readiness = new Readiness(this.logger);
    this.lag = new EventLoopLag(timer, this.logger);
    this.routing = new Routing(componentLogger(root, Component.Config));
    this.transport = new NetworkTransport(
      {host: settings.host, port: settings.gossipPort},
      timer,
      componentLogger(root, Component.Member),
    );
    this.relays = this.createRelays();
    this.endpoints = new Endpoints(settings.host, this.relays.dialer, timer);
    const upstreamLogger = componentLogger(root, Component.Upstream);
    const {metrics} = this;
    this.answers = new Answers({timer, logger: upstreamLogger, metrics});
    this.observer = new ResponseObserver({
      endpoints: this.endpoints,
      timer,
      logger: upstreamLogger,
      random: Math.random,
      rateChanged: () => this.fleet.permits.wake(),
    });
    this.probes = new LivenessProber(timer, platform.protocol, this.observer);
    this.promptGuard = new PromptGuard({
      instance: settings.instance,
      quarantine: new Quarantines({
        timer,
        ownsTrial: part => this.fleet.ownsTrial(part),
        ownsTurn: turn => this.fleet.ownsTurn(turn),
        upstreamCount: kind => this.endpoints.countReady(kind),
      }),
      probes: this.probes,
      timer,
      logger: upstreamLogger,
    });
    this.registry = new Registry({
      decode: (key, value) => platform.decodeEntry(key, value),
      timer,
      logger: upstreamLogger,
      reachableForMs: () => this.fleet.upstreams.reachableForMs(),
      servedForMs: () => this.fleet.upstreams.servedForMs(),
      changed: () => this.updateEndpoints(),
    });
    this.fleet = this.createFleet();
    this.services = new ServiceStates({
      timer,
      logger: this.requestLogger,
      random: Math.random,
      endpoints: this.endpoints,
      gossip: this.fleet.gossip,
      settings: () => this.settings,
    });
    this.listener = new Listener({
      routing: this.routing,
      protocol: platform.protocol,
      timer,
      logger: this.requestLogger,
      metrics: this.metrics,
      ...callerBoundsOf(settings, timer),
      answers: this.answers,
      observer: this.observer,
      promptGuard: this.promptGuard,
      origins: this.fleet.origins,
      entryOf: upstream => this.endpoints.entryOf(upstream),
      untilEntriesCurrent: () =>
        untilCurrent(() => this.fleet.upstreams.ageMs(), timer),
      mayForwardPrompts: () => this.fleet.mayForward,
      random: Math.random,
      configurationAgeMs: () => this.fleet.configurations.ageMs(),
      serviceStateOf: service => this.services.of(service),
      promptSent: ({id: upstream}, {parts}) =>
        this.fleet.gossip.addPrompt({
          upstream,
          parts: parts.map(({id, tokens}) => [id, tokens]),
        }),
      isAlive: (endpoint, path) => this.probes.isAlive(endpoint, path),
      witnesses: new Witnesses({
        protocol: platform.protocol,
        timer,
        observer: this.observer,
        answers: this.answers,
        prober: this.probes,
      }),
      reachesDirectly: ({entry}) =>
        this.relays.links.pathTo(entry) === Path.Direct,
      noteSilence: ({entry}) => this.relays.links.noteSilence(entry),
      canServeFor: timeoutMs =>
        !this.endController.signal.aborted &&
        (this.drainSchedule?.admits(timeoutMs, timer.now()) ?? true),
      instanceSignal: this.endController.signal,
      isDraining: () => this.drainSchedule !== undefined,
    });
    this.routing.subscribe(() => this.updateEndpoints());
  }

  async start(): Promise<void> {
    const {callerAddress, readinessAddress, metricsAddress, instance, zone} =
      this.settings;
    this.subscriptions.push(
      ...this.fleet.start(),
      watchStalls(this.timer, this.logger, {
        checked: lateMs => {
          this.registry.sweep();
          this.lag.note(lateMs, this.answers.takeLargest());
        },
        resumed: () => this.fleet.wake(),
      }),
    );
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
      {
        event: LogEvent.Started,
        instance,
        zone,
        revision: this.platform.revision,
        isFirstStart: this.settings.isFirstStart,
      },
      'Instance started.',
    );
  }

  reload(settings: GatewaySettings): void {
    this.settings = settings;
    for (const {retryBudget} of this.services.all()) {
      retryBudget.setRatio(settings.retry);
    }
    this.logger.info(
      {event: LogEvent.Reloaded},
      'Applied the changed settings.',
    );
  }

  stop(): Promise<void> {
    return (this.stopped ??= this.drain());
  }

  private async drain(): Promise<void> {
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
        if (listener.isIdle && this.relays.isIdle) break;
      }
    }
    const unfinished = listener.inflight;
    this.endController.abort();
    for (const subscription of this.subscriptions) subscription.end();
    this.promptGuard.stop();
    this.relays.end();
    listener.close();
    this.monitoringServers.close();
    await this.fleet.close();
    await timer.sleep(FLUSH_MS);
    this.logger.info(
      {event: LogEvent.Stopped, unfinished},
      'Instance stopped.',
    );
  }

  private createRelays(): Relays {
    const {settings, timer, output, transport} = this;
    return new Relays({
      host: settings.host,
      location: settings,
      timer,
      logger: componentLogger(output.logger, Component.Upstream),
      random: Math.random,
      endpoints: () => this.endpoints,
      probes: () => this.probes,
      tunnels: transport.tunnels,
      handleTunnels: handler => transport.server.handleTunnels(handler, timer),
      peers: () => this.fleet.peerAddresses(),
      isLeaving: () => this.drainSchedule !== undefined,
    });
  }

  private createFleet(): GatewayFleet {
    const {settings, platform, timer, output} = this;
    const {instance, host, zone} = settings;
    return new GatewayFleet({
      instance,
      host,
      zone,
      linkBytesPerSecond: settings.linkBytesPerSecond,
      feed: platform.feed,
      transport: this.transport,
      timer,
      random: Math.random,
      output,
      configurations: new ConfigurationRecords(
        this.routing,
        platform,
        this.logger,
      ),
      upstreams: {
        replaced: (records, outdated) => {
          this.hasUpstreamList = true;
          return this.registry.replace(records, outdated);
        },
        added: records => this.registry.add(records),
        known: () => this.registry.known(),
      },
      loads: () => this.endpoints.loads(timer.now()),
      waiting: () => this.services.waitingTiers(),
      notices: new UpstreamNotices(this.endpoints, this.observer, timer),
      permits: new LimitedUpstreams({
        timer,
        endpoints: this.endpoints,
        observer: this.observer,
        services: () => this.services,
      }),
      recordPrompt: ({upstream, parts}) =>
        this.endpoints.recordPrompt(upstream, parts),
      evidence: this.promptGuard,
      isFirstStart: settings.isFirstStart ?? false,
      isLeaving: () => this.drainSchedule !== undefined,
    });
  }

  /** Applies the usable upstreams, and places requests that can run now. */
  private updateEndpoints(): void {
    const entries = [...this.registry.usable()];
    this.fleet.applyUpstreams(entries);
    this.endpoints.apply(entries, this.routing.current());
    this.relays.retain(id => this.endpoints.get(id) !== undefined);
    for (const {waitQueue} of this.services.all()) waitQueue.placeWaiting();
  }

  /** Answers the readiness check. */
  private readinessPage(): MonitoringPage {
    const table = this.routing.current();
    const leaving = this.drainSchedule !== undefined;
    const isReady =
      !leaving &&
      table !== undefined &&
      this.hasUpstreamList &&
      this.fleet.mayForward;
    return this.readiness.page({
      isReady,
      version: table?.version,
      listed: this.hasUpstreamList,
      leaving,
    });
  }

  /** Current values of the gauges and counters of /metrics, by name. */
  private gauges(): Record<string, number> {
    return {
      configuration_version: this.routing.current()?.version ?? 0,
      ...this.fleet.epochs.gauges(),
      configuration_age_ms: this.fleet.configurations.ageMs() ?? -1,
      upstreams_age_ms: this.fleet.upstreams.ageMs() ?? -1,
      ...this.listener.gauges(),
      ...this.services.gauges(),
      reads_configuration: Number(this.fleet.configurations.isReader()),
      reads_upstreams: Number(this.fleet.upstreams.isReader()),
      other_instances: this.fleet.countOthers(),
      ...this.relays.gauges(),
      ...this.answers.gauges(),
      ...this.observer.gauges(),
      ...this.promptGuard.gauges(),
      ...this.fleet.origins.gauges(),
      connections_opened_total: this.endpoints.openedConnections(),
      log_lines_dropped_total: this.output.dropped(),
      ...processGauges(),
      event_loop_lag_ms: Math.round(this.lag.longestMs),
    };
  }
}
