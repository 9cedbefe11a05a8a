import {Topic} from '../../src/registry/index.js';
import {CATCH_UP_MS, IN_FORCE_BOUND_MS} from './experiment.js';
import {PeerWatch} from './peerwatch.js';
import {disagreements, restoreStore, type Restoration} from './restoration.js';
import {SimulatedFleet, type SimulatedInstance} from './simulatedfleet.js';
import {StoreState} from './simulatedstore.js';

/** What the writers do in a drill. */
export enum WriterAction {
  Publish = 'publish',
  Toggle = 'toggle',
  End = 'end',
  Restart = 'restart',
}

/** What happens to an instance in a drill. */
export enum Disturbance {
  /** It is suspended. */
  Freeze = 'freeze',
  /** The store doesn't answer it. */
  Cut = 'cut',
  /** It reaches neither the store nor its peers. */
  Isolate = 'isolate',
  /** It ends for good. */
  Death = 'death',
  /** A new instance starts. */
  Start = 'start',
}

/** A drill; times count from when the store leaves, in ms. */
export interface Drill {
  seed: number;
  instances: number;
  upstreams: number;
  /** Period of heartbeats, which hide that a change was missed, in ms. */
  heartbeatMs: number;
  actions: Array<{action: WriterAction; upstream: number; atMs: number}>;
  disturbances: Array<{
    disturbance: Disturbance;
    instance: number;
    atMs: number;
    forMs: number;
  }>;
  /** Restorations, each with the time since the one before. */
  restorations: Array<Restoration & {afterMs: number}>;
}

/** Time of the drill before the store leaves, in ms. */
const LEAD_MS = 6_000;
const SETTLE_MS = 4_000;
/**
 * Further time until a removed entry is dropped at once again, in ms. While an
 * outage has only just ended, it may have lapsed and is used a little longer.
 */
const GRACE_MS = 2_000;

/** Runs a drill; returns the invariants that it broke. */
export async function runDrill(drill: Drill): Promise<string[]> {
  const {seed, instances, upstreams, heartbeatMs} = drill;
  const fleet = new SimulatedFleet({
    instances,
    upstreams,
    seed,
    heartbeatMs,
    loss: 0.02,
    configurationBytes: 4_000,
  });
  await fleet.start(SETTLE_MS);
  const {base} = fleet;
  const watch = new PeerWatch(fleet);
  for (const {atMs, ...step} of drill.actions) {
    base.after(LEAD_MS + atMs, () => act(fleet, step));
  }
  for (const step of drill.disturbances) {
    base.after(LEAD_MS + step.atMs, () => disturb(fleet, step));
  }
  let leavesMs = LEAD_MS;
  let endMs = LEAD_MS;
  for (const restoration of drill.restorations) {
    leavesMs += restoration.afterMs;
    base.after(leavesMs, () => restoreStore(fleet, restoration));
    const {awayMs, rewriteMs} = restoration;
    endMs = Math.max(endMs, leavesMs + awayMs + rewriteMs);
    leavesMs += awayMs;
  }
  for (const {atMs, forMs} of drill.disturbances) {
    endMs = Math.max(endMs, LEAD_MS + atMs + forMs);
  }
  for (const {atMs} of drill.actions) {
    endMs = Math.max(endMs, LEAD_MS + atMs);
  }
  await fleet.advance(endMs + CATCH_UP_MS);
  const differences = disagreements(fleet);
  await fleet.advance(GRACE_MS);
  // Whatever is written from now on has to arrive in the usual time.
  for (const instance of fleet.instances) {
    instance.isDisturbed = !instance.isAlive;
  }
  fleet.publishConfiguration();
  fleet.toggleUpstream(0);
  fleet.endUpstream(1);
  await fleet.advance(IN_FORCE_BOUND_MS + 1);
  return [
    ...differences,
    ...[Topic.Configuration, Topic.Upstreams].flatMap(topic =>
      fleet.overdue(topic, IN_FORCE_BOUND_MS),
    ),
    ...fleet.instances.flatMap(({place, audit}) =>
      audit.faults.map(fault => `${place.name}: ${fault}`),
    ),
    ...watch.faults,
  ];
}

function act(
  fleet: SimulatedFleet,
  {action, upstream}: Omit<Drill['actions'][number], 'atMs'>,
): void {
  switch (action) {
    case WriterAction.Publish:
      return fleet.publishConfiguration();
    case WriterAction.Toggle:
      return fleet.toggleUpstream(upstream);
    case WriterAction.End:
      return fleet.endUpstream(upstream);
    case WriterAction.Restart:
      return fleet.writers.restart(upstream);
  }
}

function disturb(
  fleet: SimulatedFleet,
  {disturbance, instance: index, forMs}: Drill['disturbances'][number],
): void {
  const {base, instances} = fleet;
  const alive = instances.filter(({isAlive}) => isAlive);
  const instance = alive[index % alive.length];
  if (instance === undefined) return;
  const finish = (action: (ended: SimulatedInstance) => void) => {
    instance.isDisturbed = true;
    base.after(forMs, () => {
      instance.connectedSince = base.now();
      action(instance);
    });
  };
  switch (disturbance) {
    case Disturbance.Freeze:
      instance.timer.suspend();
      return finish(({timer}) => timer.resume());
    case Disturbance.Cut:
      instance.storeState = StoreState.Silent;
      return finish(cut => {
        cut.storeState = StoreState.Serves;
      });
    case Disturbance.Isolate:
      instance.storeState = StoreState.Silent;
      instance.reachesPeers = false;
      return finish(isolated => {
        isolated.storeState = StoreState.Serves;
        isolated.reachesPeers = true;
      });
    case Disturbance.Death:
      if (alive.length > 1) fleet.kill(instance);
      return;
    case Disturbance.Start: {
      const started = fleet.addInstance();
      started.isDisturbed = true;
      started.start();
      return;
    }
  }
}
