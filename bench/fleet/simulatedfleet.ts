import {pino} from 'pino';
import {
  EntryState,
  Registry,
  Topic,
  type KeyedRecord,
  type RegistryEntry,
} from '../../src/registry/index.js';
import {ManualTimer} from '../../src/timer/index.js';
import {GatewayFleet} from '../../src/wiring/gatewayfleet.js';
import {watchStalls} from '../../src/wiring/stall.js';
import {Random} from '../random.js';
import {InstanceTimer} from './instancetimer.js';
import {SimulatedNetwork, type Place} from './simulatednetwork.js';
import {SimulatedStore, StoreState} from './simulatedstore.js';

/** Zones of the simulated deployment and their regions. */
const REGIONS: Record<string, string> = {
  'zone-a': 'region-1',
  'zone-b': 'region-2',
  'zone-c': 'region-1',
  'zone-d': 'region-2',
  'zone-e': 'region-1',
  'zone-f': 'region-2',
};
const ZONES = Object.keys(REGIONS);
/** Period with which an upstream writes its entry, in ms. */
const HEARTBEAT_MS = 1_200;
/** All instances start within this time, in ms. */
const START_SPREAD_MS = 300;
/** How often each instance's load changes, in ms. */
const LOAD_CHANGE_MS = 300;
/** Upstreams on which an instance has requests in flight. */
const UPSTREAMS_PER_INSTANCE = 3;
const CONFIGURATION_KEY = 'config';

const silent = pino({level: 'silent'});

/** Size and seed of a simulated fleet. */
export interface FleetSpec {
  instances: number;
  upstreams: number;
  seed: number;
  /** Share of messages between instances that are lost, 0 to 1. */
  loss: number;
  /** Size of a configuration, in bytes. */
  configurationBytes: number;
}

/** When a record of the store was in force at an instance. */
export interface Application {
  instance: string;
  topic: Topic;
  /** Time from the record's acknowledgement until then, in ms. */
  delayMs: number;
}

/** One simulated instance. */
export class SimulatedInstance {
  readonly timer: InstanceTimer;
  readonly fleet: GatewayFleet;
  readonly registry: Registry;
  configurationVersion = 0;
  /** Times a configuration older than the one in force was applied. */
  regressions = 0;
  /** Whether it has been up and connected all the time. */
  isDisturbed = false;
  isAlive = true;
  /** Whether it reaches its peers. */
  reachesPeers = true;
  storeState = StoreState.Serves;
  private configurationRecords: KeyedRecord[] = [];
  private loads: Array<{upstream: string; inflight: number}> = [];

  constructor(
    readonly place: Place,
    private readonly simulation: SimulatedFleet,
  ) {
    const {base, random, store, network} = simulation;
    this.timer = new InstanceTimer(base);
    this.registry = new Registry({
      decode: decodeEntry,
      timer: this.timer,
      logger: silent,
      reachableForMs: () => this.fleet.upstreams.reachableForMs(),
      changed: () => simulation.noteEntries(this),
    });
    this.fleet = new GatewayFleet({
      instance: place.name,
      host: place.name,
      zone: place.zone,
      feed: store.feedOf(place.name, this.timer),
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
      recordPrompt: () => undefined,
      isLeaving: () => false,
    });
  }

  start(): void {
    this.fleet.start();
    watchStalls(this.timer, silent, {
      checked: () => this.registry.sweep(),
      resumed: () => this.fleet.wake(),
    });
    this.timer.every(LOAD_CHANGE_MS, () => this.changeLoads());
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
      const version = value.readUInt32BE(0);
      if (version < this.configurationVersion) this.regressions++;
      else {
        this.configurationVersion = version;
        this.configurationRecords = [{key, value, offset}];
      }
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
  readonly base = new ManualTimer();
  readonly random: Random;
  readonly store: SimulatedStore;
  readonly network: SimulatedNetwork;
  readonly instances: SimulatedInstance[] = [];
  readonly applications: Application[] = [];
  /** Ages of the loads that instances know of their zone, in ms. */
  readonly loadAges: number[] = [];
  private readonly changes = new Set<Change>();
  private readonly states: EntryState[];
  private readonly sequences: number[];
  private version = 0;

  constructor(readonly spec: FleetSpec) {
    const random = new Random(spec.seed);
    this.random = random;
    const byName = (name: string) =>
      this.instances.find(({place}) => place.name === name);
    this.store = new SimulatedStore(
      this.base,
      name => byName(name)?.storeState ?? StoreState.Silent,
    );
    const reachesPeers = new Map<string, SimulatedInstance>();
    this.network = new SimulatedNetwork(
      this.base,
      random.next,
      (from, to) =>
        random.next() < spec.loss ||
        reachesPeers.get(from.name)?.reachesPeers === false ||
        reachesPeers.get(to.name)?.reachesPeers === false,
    );
    for (let index = 0; index < spec.instances; index++) {
      const zone = ZONES[index % ZONES.length] ?? '';
      const place = {
        name: `entry-${index}`,
        zone,
        region: REGIONS[zone] ?? '',
      };
      const instance = new SimulatedInstance(place, this);
      this.instances.push(instance);
      reachesPeers.set(place.name, instance);
    }
    this.states = Array<EntryState>(spec.upstreams).fill(EntryState.Ready);
    this.sequences = Array<number>(spec.upstreams).fill(0);
  }

  /** Starts the upstreams and the instances, and waits for `settleMs`. */
  async start(settleMs: number): Promise<void> {
    const {base, random, spec} = this;
    this.publishConfiguration();
    for (let index = 0; index < spec.upstreams; index++) {
      this.writeEntry(index);
      base.after(random.next() * HEARTBEAT_MS, () => {
        base.every(HEARTBEAT_MS, () => this.writeEntry(index));
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
    const version = ++this.version;
    const value = Buffer.alloc(this.spec.configurationBytes);
    value.writeUInt32BE(version, 0);
    this.store.append(Topic.Configuration, CONFIGURATION_KEY, value);
    this.expect({
      topic: Topic.Configuration,
      isApplied: instance => instance.configurationVersion >= version,
    });
  }

  /** Changes an upstream between ready and draining. */
  toggleUpstream(index: number): void {
    const state =
      this.states[index] === EntryState.Ready
        ? EntryState.Draining
        : EntryState.Ready;
    this.states[index] = state;
    this.writeEntry(index);
    const sequence = this.sequences[index] ?? 0;
    this.expect({
      topic: Topic.Upstreams,
      isApplied: ({registry}) =>
        [...registry.usable()].some(
          entry =>
            entry.id === `i-${index}` &&
            (entry.state === state || entry.sequence >= sequence),
        ),
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
          .map(({place}) => `${place.name} lacks a change of ${at} ms`),
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

  private writeEntry(index: number): void {
    const sequence = (this.sequences[index] ?? 0) + 1;
    this.sequences[index] = sequence;
    const entry: RegistryEntry = {
      id: `i-${index}`,
      service: 's',
      host: 'h',
      port: index,
      zone: ZONES[index % ZONES.length] ?? '',
      slots: 16,
      state: this.states[index] ?? EntryState.Ready,
      coldMs: 0,
      sequence,
    };
    const value = Buffer.from(JSON.stringify(entry));
    this.store.append(Topic.Upstreams, entry.id, value);
  }

  private expect(change: Pick<Change, 'topic' | 'isApplied'>): void {
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

function decodeEntry(_key: string, value: Buffer): RegistryEntry {
  return JSON.parse(value.toString()) as RegistryEntry;
}
