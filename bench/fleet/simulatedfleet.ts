import {pino} from 'pino';
import {
  Registry,
  supersedes,
  Topic,
  type KeyedRecord,
  type RegistryEntry,
} from '../../src/registry/index.js';
import {Routing} from '../../src/route/index.js';
import {GatewayFleet} from '../../src/wiring/gatewayfleet.js';
import {watchStalls} from '../../src/wiring/stall.js';
import {Random} from '../random.js';
import {Audit} from './audit.js';
import {BudgetedTimer} from './budgetedtimer.js';
import type {Application, FleetSpec} from './fleetspec.js';
import {InstanceTimer} from './instancetimer.js';
import {feedOverLinks, SimulatedLinks} from './simulatedlinks.js';
import {placeOf, ZONES} from './places.js';
import {SimulatedQuarantine} from './simulatedquarantine.js';
import {DeclaringUpstreams, LimitedRequests} from './limitedupstreams.js';
import {NO_LIMITS, NO_NOTICES} from './unlimited.js';
import {SimulatedNetwork, type Place} from './simulatednetwork.js';
import {SimulatedStore, StoreState} from './simulatedstore.js';
import {
  CONFIGURATION_KEY,
  decodeConfiguration,
  decodeEntry,
  LEARNING_MS,
  SimulatedWriters,
} from './simulatedwriters.js';

/** The store is in the first region. */
const STORE = {region: 'region-1'};
/** Period with which an upstream writes its entry, in ms. */
const HEARTBEAT_MS = 1_200;
/** All instances start within this time, in ms. */
const START_SPREAD_MS = 300;
/** How often each instance's load changes, in ms. */
const LOAD_CHANGE_MS = 300;
/** Upstreams on which an instance has requests in flight. */
const UPSTREAMS_PER_INSTANCE = 3;
/** Capacity of an instance's link where links aren't simulated. */
const UNLIMITED_BYTES_PER_SECOND = 125_000_000;
const LIMITS = {headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1};

const silent = pino({level: 'silent'});

/** One simulated instance. */
export class SimulatedInstance {
  readonly timer: InstanceTimer;
  readonly fleet: GatewayFleet;
  readonly registry: Registry;
  readonly audit: Audit;
  readonly quarantine: SimulatedQuarantine;
  /** Requests to upstreams that declare rates, if there are any. */
  readonly requests?: LimitedRequests;
  private readonly routing = new Routing(silent);
  /** Times that a configuration older than one received before arrived. */
  regressions = 0;
  /** Whether it has been up and connected all the time. */
  isDisturbed = false;
  isAlive = true;
  /** Whether it reaches its peers. */
  reachesPeers = true;
  storeState = StoreState.Serves;
  /** Since when it is connected, if it is, in ms. */
  connectedSince = -Infinity;
  private configurationRecords: KeyedRecord[] = [];
  private loads: Array<{upstream: string; inflight: number}> = [];

  constructor(
    readonly place: Place,
    private readonly simulation: SimulatedFleet,
  ) {
    const {base, random, store, network, links, writers} = simulation;
    this.timer = new InstanceTimer(base);
    this.quarantine = new SimulatedQuarantine(place.name, this.timer);
    if (simulation.limited !== undefined) {
      this.requests = new LimitedRequests(
        place,
        this.timer,
        random.next,
        simulation.limited,
        () => this.fleet,
      );
    }
    this.audit = new Audit(
      () => base.now(),
      writers,
      () => this.isConnected && base.now() - this.connectedSince >= LEARNING_MS,
    );
    this.routing.subscribe(table => this.audit.noteTable(table));
    this.registry = new Registry({
      decode: decodeEntry,
      timer: this.timer,
      logger: silent,
      reachableForMs: () => this.fleet.upstreams.reachableForMs(),
      servedForMs: () => this.fleet.upstreams.servedForMs(),
      changed: () => {
        this.audit.noteUsable(this.registry.usable());
        simulation.noteEntries(this);
      },
    });
    const feed = store.feedOf(place.name, this.timer);
    this.fleet = new GatewayFleet({
      linkBytesPerSecond:
        simulation.spec.links?.instance ?? UNLIMITED_BYTES_PER_SECOND,
      instance: place.name,
      host: place.name,
      zone: place.zone,
      feed:
        links === undefined
          ? feed
          : feedOverLinks(feed, links, STORE, place, this.timer),
      transport: network.connect(place, this.timer),
      timer: this.timer,
      random: random.next,
      output: {logger: silent, dropped: () => 0},
      configurations: {
        replaced: records => this.applyConfigurations(records),
        added: records => this.applyConfigurations(records),
        known: () => this.configurationRecords,
      },
      upstreams: {
        replaced: (records, outdated) =>
          this.registry.replace(records, outdated),
        added: records => this.registry.add(records),
        known: () => this.registry.known(),
      },
      loads: () =>
        this.loads.map(load => ({...load, unread: [[1, 900]], recent: []})),
      waiting: () => [],
      notices: this.requests?.notices ?? NO_NOTICES,
      permits: this.requests?.permits ?? NO_LIMITS,
      recordPrompt: () => undefined,
      evidence: this.quarantine,
      isFirstStart: true,
      isLeaving: () => false,
    });
  }

  /** Whether it is up and reaches the store and its peers. */
  get isConnected(): boolean {
    return (
      this.isAlive &&
      this.reachesPeers &&
      !this.timer.isSuspended &&
      this.storeState === StoreState.Serves
    );
  }

  /** The entry of an upstream that may be used here. */
  entry(id: string): RegistryEntry | undefined {
    return [...this.registry.usable()].find(entry => entry.id === id);
  }

  get configurationVersion(): number {
    return this.routing.current()?.version ?? 0;
  }

  start(): void {
    this.fleet.start();
    watchStalls(this.timer, silent, {
      checked: () => this.registry.sweep(),
      resumed: () => this.fleet.wake(),
    });
    this.timer.every(LOAD_CHANGE_MS, () => this.changeLoads());
  }

  /** Places a large prompt, as tells the peers of the load at once. */
  placePrompt(): void {
    const {random, spec} = this.simulation;
    const upstream = `i-${Math.floor(random.next() * spec.upstreams)}`;
    const parts = Array.from({length: 4}, (_, index): [string, number] => [
      `part-${Math.floor(random.next() * 1_000)}-${index}`,
      1_000,
    ]);
    this.fleet.gossip.addPrompt({upstream, parts});
    this.fleet.gossip.send();
  }

  private changeLoads(): void {
    const {random, spec} = this.simulation;
    this.loads = Array.from({length: UPSTREAMS_PER_INSTANCE}, () => ({
      upstream: `i-${Math.floor(random.next() * spec.upstreams)}`,
      inflight: 1,
    }));
  }

  private applyConfigurations(records: KeyedRecord[]): KeyedRecord[] {
    for (const {key, value, offset} of records) {
      if (key !== CONFIGURATION_KEY || value === undefined) continue;
      const {version, keys} = decodeConfiguration(value);
      // Only a store that has lost records may hold an older one again.
      if (version < this.configurationVersion && !this.simulation.hasLost) {
        this.regressions++;
      }
      if (version >= this.configurationVersion) {
        this.configurationRecords = [{key, value, offset}];
      }
      const workspaces = [{name: 'w', keys}];
      const document = {version, routes: [], services: [], workspaces};
      this.routing.accept({...document, limits: LIMITS});
      this.simulation.noteVersion(this);
    }
    return records;
  }
}

/** A change in the store that instances have to apply. */
interface Change {
  topic: Topic;
  at: number;
  isApplied(instance: SimulatedInstance): boolean;
  pending: Set<SimulatedInstance>;
}

/**
 * A fleet of gateways in virtual time. Their followers, gossip and registries
 * are the real ones; the store, the network and the clocks are simulated.
 */
export class SimulatedFleet {
  readonly base: BudgetedTimer;
  readonly random: Random;
  readonly store: SimulatedStore;
  readonly network: SimulatedNetwork;
  readonly links?: SimulatedLinks;
  readonly instances: SimulatedInstance[] = [];
  readonly applications: Application[] = [];
  /** Ages of the loads that instances know of their zone, in ms. */
  readonly loadAges: number[] = [];
  readonly writers: SimulatedWriters;
  /** Upstreams that may declare rates, if there are any. */
  readonly limited?: DeclaringUpstreams;
  /** Whether the store has lost records. */
  hasLost = false;
  private readonly changes = new Set<Change>();
  private readonly byName = new Map<string, SimulatedInstance>();

  constructor(readonly spec: FleetSpec) {
    const random = new Random(spec.seed);
    this.random = random;
    const {stepsPerSecond = Infinity, instances} = spec;
    this.base = new BudgetedTimer(stepsPerSecond * instances);
    if (spec.links !== undefined) this.links = new SimulatedLinks(spec.links);
    if (spec.limitedUpstreams !== undefined) {
      this.limited = new DeclaringUpstreams(this.base, spec.limitedUpstreams);
    }
    this.store = new SimulatedStore(
      this.base,
      name => this.byName.get(name)?.storeState ?? StoreState.Silent,
    );
    this.writers = new SimulatedWriters(this.store, this.base, ZONES, spec);
    const reachesPeers = ({name}: Place) =>
      this.byName.get(name)?.reachesPeers !== false;
    this.network = new SimulatedNetwork(
      this.base,
      random.next,
      (from, to) =>
        random.next() < spec.loss || !reachesPeers(from) || !reachesPeers(to),
      this.links,
    );
    for (let index = 0; index < spec.instances; index++) this.addInstance();
  }

  /** Adds an instance, which has yet to be started. */
  addInstance(): SimulatedInstance {
    return this.place(placeOf(this.byName.size));
  }

  /** Kills an instance and starts it anew, at the same place. */
  restart(instance: SimulatedInstance): SimulatedInstance {
    this.kill(instance);
    const next = this.place(instance.place);
    next.isDisturbed = true;
    next.start();
    return next;
  }

  private place(place: Place): SimulatedInstance {
    const instance = new SimulatedInstance(place, this);
    this.instances.push(instance);
    this.byName.set(place.name, instance);
    return instance;
  }

  /** Starts the upstreams and the instances, and waits for `settleMs`. */
  async start(settleMs: number): Promise<void> {
    const {base, random, spec, writers} = this;
    const {heartbeatMs = HEARTBEAT_MS} = spec;
    this.publishConfiguration();
    for (let index = 0; index < spec.upstreams; index++) {
      writers.beat(index);
      base.after(random.next() * heartbeatMs, () => {
        base.every(heartbeatMs, () => writers.beat(index));
      });
    }
    for (const instance of this.instances) {
      base.after(random.next() * START_SPREAD_MS, () => instance.start());
    }
    await this.advance(settleMs);
  }

  advance(ms: number): Promise<void> {
    return this.base.advance(ms);
  }

  /** Publishes a new configuration. */
  publishConfiguration(): void {
    const version = this.writers.publish();
    this.expect({
      topic: Topic.Configuration,
      isApplied: instance => instance.configurationVersion >= version,
    });
  }

  /** Changes an upstream between ready and draining. */
  toggleUpstream(index: number): void {
    const written = this.writers.toggle(index);
    if (written === undefined) return;
    this.expect({
      topic: Topic.Upstreams,
      isApplied: instance => {
        const known = instance.entry(written.id);
        // Its end may have been written since.
        if (known === undefined) return !this.isRunning(written);
        return known.state === written.state || supersedes(known, written);
      },
    });
  }

  /** Ends an upstream and removes its entry. */
  endUpstream(index: number): void {
    const id = `i-${index}`;
    const ended = this.writers.runningEntry(id);
    if (ended === undefined) return;
    this.writers.end(index);
    this.expect({
      topic: Topic.Upstreams,
      isApplied: instance => {
        const known = instance.entry(id);
        return known === undefined || known.startedAt !== ended.startedAt;
      },
    });
  }

  /** Notes that an instance has changed entries. */
  noteEntries(instance: SimulatedInstance): void {
    this.noteApplied(Topic.Upstreams, instance);
  }

  /** Notes that an instance has read a configuration. */
  noteVersion(instance: SimulatedInstance): void {
    this.noteApplied(Topic.Configuration, instance);
  }

  /** Adds the ages of known loads to [[loadAges]]. */
  sampleLoadAges(): void {
    for (const {fleet, isAlive} of this.instances) {
      if (isAlive) this.loadAges.push(...fleet.gossip.loadAges());
    }
  }

  /** Changes that instances up and connected all the time have not applied. */
  overdue(topic: Topic, boundMs: number): string[] {
    const now = this.base.now();
    return [...this.changes]
      .filter(change => change.topic === topic && now - change.at > boundMs)
      .flatMap(({at, pending}) =>
        [...pending]
          .filter(({isDisturbed}) => !isDisturbed)
          .map(({place}) => `${place.name} lacks ${topic} of ${at} ms`),
      );
  }

  /** The instance that reads a topic for the fleet, if there is one. */
  readerOf(topic: Topic): SimulatedInstance | undefined {
    return this.instances.find(
      ({fleet, isAlive}) => isAlive && fleet.followerOf(topic).isReader(),
    );
  }

  /** Kills an instance for good. */
  kill(instance: SimulatedInstance): void {
    instance.timer.kill();
    instance.isAlive = false;
    instance.isDisturbed = true;
    for (const {pending} of this.changes) pending.delete(instance);
  }

  private isRunning({id, startedAt}: RegistryEntry): boolean {
    const running = this.writers.runningEntry(id);
    return running !== undefined && running.startedAt === startedAt;
  }

  private expect(change: Pick<Change, 'topic' | 'isApplied'>): void {
    // What the store doesn't take now is written later.
    if (this.store.isAway) return;
    const alive = this.instances.filter(({isAlive}) => isAlive);
    this.changes.add({
      ...change,
      at: this.base.now(),
      pending: new Set(alive),
    });
  }

  private noteApplied(topic: Topic, instance: SimulatedInstance): void {
    const now = this.base.now();
    for (const change of this.changes) {
      if (change.topic !== topic || !change.pending.has(instance)) continue;
      if (!change.isApplied(instance)) continue;
      change.pending.delete(instance);
      if (change.pending.size === 0) this.changes.delete(change);
      if (instance.isDisturbed) continue;
      const delayMs = now - change.at;
      this.applications.push({instance: instance.place.name, topic, delayMs});
    }
  }
}
