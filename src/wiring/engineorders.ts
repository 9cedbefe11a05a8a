import type {ConfigurationFollower} from '../config/index.js';
import type {Membership} from '../instance/index.js';
import {LeaseCandidates, LeaseManager} from '../lease/index.js';
import {EngineClient, OrderManager} from '../order/index.js';
import {HttpWeightStore} from '../platform/index.js';
import type {LeaseView} from '../report/index.js';
import {componentLogger, Component} from '../telemetry/index.js';
import type {Timer} from '../timer/index.js';
import type {Directory} from '../upstream/index.js';
import type {SharedDependencies} from './shareddependencies.js';

const ORDER_ROUNDS_PER_TERM = 3;

/** The parts that give orders to engines. */
export interface Ordering {
  leases: LeaseManager;
  start(): void;
  stop(): Promise<void>;
}

/** Constructs leases and the orders their holder gives. */
export function createEngineOrders(
  {settings, root, agent, log, timer}: SharedDependencies,
  membership: Membership,
  directory: Directory,
  follower: ConfigurationFollower,
): Ordering {
  const candidates = new LeaseCandidates(
    settings.instance,
    () => membership.live().map(({name}) => name),
    timer,
  );
  const leases = new LeaseManager({
    log,
    timer,
    logger: componentLogger(root, Component.Lease),
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
    logger: componentLogger(root, Component.Order),
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

/** The leases of pools, as far as this instance knows them. */
export function leaseViews(
  leases: LeaseManager,
  follower: ConfigurationFollower,
  timer: Timer,
): LeaseView[] {
  const pools = follower.current()?.document.pools ?? [];
  return pools.flatMap(({name}) => {
    const holder = leases.holderOf(name);
    if (holder === undefined) return [];
    const held = leases.held(name);
    if (held === undefined) return [{name, holder}];
    const remainingMs = held.validUntil - timer.now();
    return [{name, holder, fencingNumber: held.fencing, remainingMs}];
  });
}
