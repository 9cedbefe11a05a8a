import type {ConfigurationDraft} from '../src/config/index.js';
import {LEASE_STREAM, type LeaseRecord} from '../src/lease/index.js';
import type {JournaledOrder} from '../stand-ins/index.js';
import type {Cluster, ProxiedStandIn} from './cluster.js';

/** Sender of orders that were held up on their way, in engines' journals. */
export const LATE_ORDER_SENDER = 'held-up';

const LEASES_LIMIT = 10_000;

/** A record of the lease stream, with the log's time in wall-clock ms. */
export interface LeaseLine {
  offset: number;
  time: number;
  value: LeaseRecord;
}

/** A grant, found in the log. */
export interface Grant {
  /** Name of the router that asked. */
  router: string;
  fencing: number;
  at: number;
}

/** Reads the lease stream; empty while the log is down. */
export async function readLeaseRecords({log}: Cluster): Promise<LeaseLine[]> {
  const path = `/streams/${LEASE_STREAM}/records?limit=${LEASES_LIMIT}`;
  const answer = await fetch(`${log.url}${path}`);
  if (!answer.ok) return [];
  return ((await answer.json()) as {records: LeaseLine[]}).records;
}

/** Grants of all pools, oldest first. */
export async function readGrants(cluster: Cluster): Promise<Grant[]> {
  const lines = await readLeaseRecords(cluster);
  return lines.flatMap(({offset, time, value}) => {
    if (value.type !== 'grant') return [];
    const router = value.holder.split('/')[0] ?? '';
    return [{router, fencing: offset, at: time}];
  });
}

/** The router whose lease was renewed last, and its fencing number. */
export async function readCurrentHolder(
  cluster: Cluster,
): Promise<Grant | undefined> {
  const lines = await readLeaseRecords(cluster);
  const renewal = lines.findLast(({value}) => value.type === 'renewal');
  if (renewal?.value.type !== 'renewal') {
    return (await readGrants(cluster)).at(-1);
  }
  const fencing = renewal.value.leases[0]?.fencing;
  if (fencing === undefined) return undefined;
  const router = renewal.value.holder.split('/')[0] ?? '';
  return {router, fencing, at: renewal.time};
}

/** Orders that an engine got, oldest first. */
export async function readEngineOrders({
  url,
}: ProxiedStandIn): Promise<JournaledOrder[]> {
  const answer = await fetch(`${url}/orders`);
  return (await answer.json()) as JournaledOrder[];
}

/** Gives an engine an order that a former holder sent long ago. */
export async function sendLateOrder(
  {url}: ProxiedStandIn,
  fencing: number,
  model: string,
): Promise<void> {
  const id = `late-${fencing}-${model}`;
  const order = {
    type: 'unloadModel',
    model,
    id,
    fencing,
    sender: LATE_ORDER_SENDER,
  };
  await fetch(`${url}/orders`, {method: 'POST', body: JSON.stringify(order)});
}

/** The document, its engines checking fencing numbers or ignoring them. */
export function withFencing(
  document: ConfigurationDraft,
  fencing: 'enforced' | 'ignored',
): ConfigurationDraft {
  const pools = document.pools.map(pool =>
    pool.kind === 'runner' ? {...pool, fencing} : pool,
  );
  return {...document, pools};
}

/** The document with one copy more or less of every model. */
export function withCopiesChangedBy(
  document: ConfigurationDraft,
  change: 1 | -1,
): ConfigurationDraft {
  const pools = document.pools.map(pool => {
    if (pool.kind !== 'runner') return pool;
    const models = pool.models.map(model => ({
      ...model,
      copies: Math.max(1, (model.copies ?? 1) + change),
    }));
    return {...pool, models};
  });
  return {...document, pools};
}
