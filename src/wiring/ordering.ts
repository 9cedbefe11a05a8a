import type {ConfigurationFollower} from '../config/index.js';
import type {Membership} from '../instance/index.js';
import {Candidates, LeaseManager} from '../lease/index.js';
import {EngineClient, OrderManager} from '../order/index.js';
import {HttpWeightStore} from '../platform/index.js';
import type {LeaseView} from '../report/index.js';
import {logOf, Part} from '../telemetry/index.js';
import type {Timer} from '../timer/index.js';
import type {Directory} from '../upstream/index.js';
import type {Base} from './base.js';

const ORDER_ROUNDS_PER_TERM = 3;

/** The parts that give orders to engines. */
export interface Ordering {
  leases: LeaseManager;
  start(): void;
  stop(): Promise<void>;
}

/** Constructs leases and the orders their holder gives. */
export function openOrdering(
  {settings, root, agent, log, timer}: Base,
  membership: Membership,
  directory: Directory,
  follower: ConfigurationFollower,
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
    const remainingMs = held.until - timer.now();
    return [{name, holder, fencingNumber: held.fencing, remainingMs}];
  });
}
