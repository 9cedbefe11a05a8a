import {Random} from '../random.js';
import type {LimitedArrival} from './limitedupstreams.js';
import {SimulatedFleet, type SimulatedInstance} from './simulatedfleet.js';

/** Length of the windows in which requests are counted, in s. */
const WINDOW_S = 4;
/** Time from a declaration after which it is kept, in ms. */
const STABLE_WINDOW_MS = 4_000;
const SETTLE_MS = 6_000;
const PATIENCE_MS = 6_000;
const FAULT_PERIOD_MS = 5_000;
const FAULT_MS = 2_500;
/** How often the demand moves between instances, in ms. */
const MOVE_PERIOD_MS = 3_000;
const TIERS = 3;

/** Faults of the instances in an experiment. */
export enum InstanceFault {
  Restart = 'restart',
  Freeze = 'freeze',
  Cut = 'cut',
}

/** What an experiment with declared rates does. */
export interface DeclaredLimitSpec {
  instances: number;
  seed: number;
  /** Measured time, in s. */
  seconds: number;
  /** Declared rates, one for each upstream; undefined for none. */
  rates: ReadonlyArray<number | undefined>;
  /** Requests a second of the whole fleet. */
  requestsPerSecond: number;
  /** Share of the instances that have requests at a time. */
  busyShare: number;
  faults: readonly InstanceFault[];
  /** Share of messages that are lost, 0 to 1. */
  loss: number;
}

/** What was seen of one upstream. */
export interface LimitedFigures {
  perSecond: number;
  /** Most requests in a window from instances without a fault. */
  most: number;
  /** The same from all instances. */
  mostOfAll: number;
  /** What the users allow, and what is aimed at. */
  allowed: number;
  aim: number;
  /** Share of the declared rate that was used. */
  used: number;
}

/** Result of an experiment. */
export interface DeclaredLimitResult {
  upstreams: LimitedFigures[];
  refused: number;
  /** Bytes a second that each instance sends to peers. */
  bytesPerSecond: number;
  messagesPerSecond: number;
  /** Mean share of the requests of each tier that were placed. */
  servedByTier: number[];
}

/** Runs a fleet before upstreams that declare rates. */
export async function runDeclaredLimit(
  spec: DeclaredLimitSpec,
): Promise<DeclaredLimitResult> {
  const fleet = new SimulatedFleet({
    instances: spec.instances,
    seed: spec.seed,
    loss: spec.loss,
    upstreams: 12,
    limitedUpstreams: spec.rates.length,
    configurationBytes: 2_000,
  });
  const {base, limited} = fleet;
  const random = new Random(spec.seed ^ 0x5bd1e995);
  await fleet.start(SETTLE_MS);
  let busy: SimulatedInstance[] = [];
  const move = () => {
    const alive = fleet.instances.filter(({isAlive}) => isAlive);
    const count = Math.max(1, Math.round(alive.length * spec.busyShare));
    busy = random.shuffle(alive).slice(0, count);
  };
  move();
  base.every(MOVE_PERIOD_MS, move);
  const sent = Array<number>(TIERS).fill(0);
  let from = Infinity;
  base.every(1_000 / spec.requestsPerSecond, () => {
    const instance = random.pick(busy);
    if (!instance.isAlive || instance.timer.isSuspended) return;
    const tier = Math.floor(random.next() * TIERS);
    if (base.now() >= from) sent[tier] = (sent[tier] ?? 0) + 1;
    void instance.requests?.send(tier, PATIENCE_MS);
  });
  await fleet.advance(1_000);
  spec.rates.forEach((rate, index) => limited?.rates.splice(index, 1, rate));
  from = base.now() + STABLE_WINDOW_MS;
  const disturbed = new Map<string, Array<[number, number]>>();
  if (spec.faults.length > 0) {
    base.every(FAULT_PERIOD_MS, () => {
      const victim = random.pick(
        fleet.instances.filter(({isAlive}) => isAlive),
      );
      const spans = disturbed.get(victim.place.name) ?? [];
      const until = base.now() + FAULT_MS + STABLE_WINDOW_MS;
      disturbed.set(victim.place.name, [...spans, [base.now(), until]]);
      inject(fleet, victim, random.pick(spec.faults));
    });
  }
  await fleet.advance(STABLE_WINDOW_MS);
  const traffic = {...fleet.network.traffic};
  await fleet.advance(spec.seconds * 1_000);
  const to = base.now();
  const counts = ({from: name, at}: LimitedArrival) =>
    !(disturbed.get(name) ?? []).some(
      ([begin, end]) => at >= begin && at <= end,
    );
  const perInstance = (total: number) =>
    Math.round(total / spec.seconds / spec.instances);
  const placed = (limited?.arrivals ?? []).filter(({at}) => at >= from);
  return {
    upstreams: spec.rates.flatMap((perSecond, index): LimitedFigures[] => {
      if (perSecond === undefined || limited === undefined) return [];
      const window = perSecond * WINDOW_S;
      const used = limited.countIn(index, from, to) / spec.seconds / perSecond;
      return [
        {
          perSecond,
          most: limited.mostInWindow(index, [from, to], counts),
          mostOfAll: limited.mostInWindow(index, [from, to]),
          allowed: Math.floor(1.5 * window + 5),
          aim: Math.floor(1.1 * window + 2),
          used: Math.round(used * 100) / 100,
        },
      ];
    }),
    refused: fleet.instances.reduce(
      (sum, {requests}) => sum + (requests?.refused ?? 0),
      0,
    ),
    bytesPerSecond: perInstance(fleet.network.traffic.bytes - traffic.bytes),
    messagesPerSecond: perInstance(
      fleet.network.traffic.datagrams - traffic.datagrams,
    ),
    servedByTier: sent.map((count, tier) => {
      const served = placed.filter(arrival => arrival.tier === tier).length;
      return Math.round((served / Math.max(1, count)) * 100) / 100;
    }),
  };
}

function inject(
  fleet: SimulatedFleet,
  victim: SimulatedInstance,
  fault: InstanceFault,
): void {
  const {base} = fleet;
  switch (fault) {
    case InstanceFault.Restart:
      fleet.restart(victim);
      return;
    case InstanceFault.Freeze:
      victim.timer.suspend();
      base.after(FAULT_MS, () => victim.timer.resume());
      return;
    case InstanceFault.Cut:
      victim.reachesPeers = false;
      base.after(FAULT_MS, () => {
        victim.reachesPeers = true;
      });
      return;
  }
}
