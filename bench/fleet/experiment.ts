import {Topic} from '../../src/registry/index.js';
import {
  disagreements,
  drawRestoration,
  MAX_AWAY_MS,
  MAX_REWRITE_MS,
  restoreStore,
} from './restoration.js';
import {SimulatedFleet} from './simulatedfleet.js';
import {StoreState} from './simulatedstore.js';

/** Faults that an experiment injects, each every few seconds. */
export enum FleetFault {
  /** The reader of a topic dies. */
  ReaderDeath = 'reader-death',
  /** The reader of a topic is suspended for some seconds. */
  ReaderFreeze = 'reader-freeze',
  /** The store doesn't answer the reader of a topic for some seconds. */
  ReaderCut = 'reader-cut',
  /** The reader of a topic doesn't reach its peers for some seconds. */
  ReaderIsolated = 'reader-isolated',
  /** The store refuses a third of the instances for some seconds. */
  StorePart = 'store-part',
  /** The store refuses all instances for some seconds. */
  StoreDown = 'store-down',
  /** The store forgets the history of a topic. */
  StoreForgets = 'store-forgets',
  /** The store is away and returns from an older copy. */
  StoreRestored = 'store-restored',
}

/** What an experiment does. */
export interface ExperimentSpec {
  instances: number;
  upstreams: number;
  seed: number;
  /** Measured time after the start, in s. */
  seconds: number;
  /** Share of messages that are lost, 0 to 1. */
  loss: number;
  faults: readonly FleetFault[];
  /** Most steps of the simulation for each instance a second; no bound if absent. */
  stepsPerSecond?: number;
}

/** Quantiles of a sample. */
export interface Quantiles {
  p50: number;
  p99: number;
  worst: number;
}

/** What an experiment measured. */
export interface ExperimentFigures {
  instances: number;
  /** Time from an acknowledgement to its effect, in ms, by topic. */
  inForceMs: Record<string, Quantiles>;
  /** Age of the loads known of instances of the same zone, in ms. */
  loadAgeMs: Quantiles;
  /** Calls to the store a second, by the whole fleet. */
  callsPerSecond: number;
  /** Calls to the store until the fleet has settled. */
  startCalls: number;
  /** Messages a second of each instance, datagrams and calls of peers. */
  messagesPerSecond: number;
  /** Bytes a second that each instance sends to peers. */
  bytesPerSecond: number;
  /** Bytes a second that each instance sends to another region. */
  regionBytesPerSecond: number;
  /** Times that an instance went back to an older configuration. */
  regressions: number;
  /** Changes that an undisturbed instance lacks beyond the bound. */
  overdue: string[];
  /** What instances forgot that they had known. */
  forgotten: string[];
  /** Instances that differ from the store in the end. */
  disagreements: string[];
}

/** Time to settle after the start, in ms. */
const SETTLE_MS = 6_000;
const CHANGE_PERIOD_MS = 700;
const CONFIGURATION_PERIOD_MS = 2_900;
const FAULT_PERIOD_MS = 4_000;
const FAULT_MS = 2_000;
const LOAD_SAMPLE_PERIOD_MS = 500;
const CONFIGURATION_BYTES = 20_000;
/** The tightest bound of the deployments' settings, in ms. */
export const IN_FORCE_BOUND_MS = 2_500;
/** Time in which everyone agrees with a store that wrote everything again. */
export const CATCH_UP_MS = 4_000;
/** Time from a restoration until everyone agrees with the store, in ms. */
const RESTORED_MS = MAX_AWAY_MS + MAX_REWRITE_MS + CATCH_UP_MS;

/** Runs a fleet and measures it. */
export async function runExperiment(
  spec: ExperimentSpec,
): Promise<ExperimentFigures> {
  const fleet = new SimulatedFleet({
    ...spec,
    configurationBytes: CONFIGURATION_BYTES,
  });
  await fleet.start(SETTLE_MS);
  const startCalls = countCalls(fleet);
  const startTraffic = {...fleet.network.traffic};
  fleet.applications.length = 0;
  const {base, random} = fleet;
  const subscriptions = [
    base.every(CHANGE_PERIOD_MS, () =>
      fleet.toggleUpstream(Math.floor(random.next() * spec.upstreams)),
    ),
    base.every(CONFIGURATION_PERIOD_MS, () => fleet.publishConfiguration()),
    base.every(LOAD_SAMPLE_PERIOD_MS, () => fleet.sampleLoadAges()),
  ];
  if (spec.faults.length > 0) {
    subscriptions.push(
      base.every(FAULT_PERIOD_MS, () => {
        const topic = random.pick([Topic.Configuration, Topic.Upstreams]);
        injectFault(fleet, random.pick(spec.faults), topic);
      }),
    );
  }
  await fleet.advance(spec.seconds * 1_000);
  for (const subscription of subscriptions) subscription.end();
  const traffic = {...fleet.network.traffic};
  const perInstance = (total: number) =>
    round(total / spec.seconds / spec.instances);
  const calls = countCalls(fleet) - startCalls;
  const hasRestored = fleet.store.isAway || fleet.hasLost;
  await fleet.advance(hasRestored ? RESTORED_MS : IN_FORCE_BOUND_MS + 1);
  return {
    instances: spec.instances,
    inForceMs: Object.fromEntries(
      [Topic.Configuration, Topic.Upstreams].map(topic => [
        topic,
        quantilesOf(
          fleet.applications
            .filter(application => application.topic === topic)
            .map(({delayMs}) => delayMs),
        ),
      ]),
    ),
    loadAgeMs: quantilesOf(fleet.loadAges),
    callsPerSecond: round(calls / spec.seconds),
    startCalls,
    messagesPerSecond: perInstance(
      traffic.datagrams +
        traffic.calls -
        startTraffic.datagrams -
        startTraffic.calls,
    ),
    bytesPerSecond: perInstance(traffic.bytes - startTraffic.bytes),
    regionBytesPerSecond: perInstance(
      traffic.regionBytes - startTraffic.regionBytes,
    ),
    regressions: fleet.instances.reduce((sum, i) => sum + i.regressions, 0),
    overdue: [Topic.Configuration, Topic.Upstreams].flatMap(topic =>
      fleet.overdue(topic, IN_FORCE_BOUND_MS),
    ),
    forgotten: fleet.instances.flatMap(({audit}) => audit.faults),
    disagreements: hasRestored ? disagreements(fleet) : [],
  };
}

function countCalls({store}: SimulatedFleet): number {
  const {reads, snapshots, puts} = store.calls;
  return reads + snapshots + puts;
}

/** Injects a fault that concerns the reader of a topic, or the store. */
export function injectFault(
  fleet: SimulatedFleet,
  fault: FleetFault,
  topic: Topic,
): void {
  const {base, instances} = fleet;
  const reader = fleet.readerOf(topic);
  switch (fault) {
    case FleetFault.ReaderDeath:
      if (reader !== undefined) fleet.kill(reader);
      return;
    case FleetFault.ReaderFreeze:
      if (reader === undefined) return;
      reader.isDisturbed = true;
      reader.timer.suspend();
      base.after(FAULT_MS, () => reader.timer.resume());
      return;
    case FleetFault.ReaderCut:
      if (reader === undefined) return;
      reader.isDisturbed = true;
      reader.storeState = StoreState.Silent;
      base.after(FAULT_MS, () => {
        reader.storeState = StoreState.Serves;
      });
      return;
    case FleetFault.ReaderIsolated:
      if (reader === undefined) return;
      reader.reachesPeers = false;
      base.after(FAULT_MS, () => {
        reader.reachesPeers = true;
      });
      return;
    case FleetFault.StoreForgets:
      fleet.store.forget(topic);
      return;
    case FleetFault.StoreRestored:
      if (fleet.store.isAway) return;
      restoreStore(fleet, drawRestoration(fleet.random));
      return;
    case FleetFault.StorePart:
    case FleetFault.StoreDown: {
      const refused = instances.filter(
        (_, index) => fault === FleetFault.StoreDown || index % 3 === 0,
      );
      for (const instance of refused) {
        instance.storeState = StoreState.Refuses;
        if (fault === FleetFault.StoreDown) instance.isDisturbed = true;
      }
      base.after(FAULT_MS, () => {
        for (const instance of refused) {
          instance.storeState = StoreState.Serves;
        }
      });
      return;
    }
  }
}

function quantilesOf(values: readonly number[]): Quantiles {
  const sorted = values.toSorted((a, b) => a - b);
  const at = (share: number) =>
    round(sorted[Math.floor(share * (sorted.length - 1))] ?? 0);
  return {p50: at(0.5), p99: at(0.99), worst: at(1)};
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}
