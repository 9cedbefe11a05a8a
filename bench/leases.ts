import type {ConfigurationDraft} from '../src/config/index.js';
import {LEASE_STREAM, type LeaseRecord} from '../src/lease/index.js';
import type {JournaledOrder} from '../stand-ins/index.js';
import type {Cluster, ProxiedStandIn} from './cluster.js';

/** Sender of deliberately delayed orders in the journals of engines. */
export const LATE_ORDER_SENDER = 'held-up';

const MAX_LEASE_RECORDS = 10_000;

/** A record of the lease stream as the log returns it. */
export interface LoggedLeaseRecord {
  offset: number;
  /** Time of the append, in wall-clock ms. */
  time: number;
  value: LeaseRecord;
}

/** A granted or renewed lease, read from the log. */
export interface Grant {
  /** Name of the router that holds the lease. */
  router: string;
  /** Fencing number of the lease. */
  fencing: number;
  /** Time of the log record, in wall-clock ms. */
  at: number;
}

/** Reads the lease stream; empty if the log answers with an error. */
export async function readLeaseRecords({
  log,
}: Cluster): Promise<LoggedLeaseRecord[]> {
  const path = `/streams/${LEASE_STREAM}/records?limit=${MAX_LEASE_RECORDS}`;
  const answer = await fetch(`${log.url}${path}`);
  if (!answer.ok) return [];
  return ((await answer.json()) as {records: LoggedLeaseRecord[]}).records;
}

/** Reads the grants of all pools, oldest first. */
export async function readGrants(cluster: Cluster): Promise<Grant[]> {
  const records = await readLeaseRecords(cluster);
  return records.flatMap(({offset, time, value}) => {
    if (value.type !== 'grant') return [];
    const router = value.holder.split('/')[0] ?? '';
    return [{router, fencing: offset, at: time}];
  });
}

/**
 * Reads the lease that was renewed last, or granted last if none was renewed;
 * undefined if there is none.
 */
export async function readCurrentHolder(
  cluster: Cluster,
): Promise<Grant | undefined> {
  const records = await readLeaseRecords(cluster);
  const renewal = records.findLast(({value}) => value.type === 'renewal');
  if (renewal?.value.type !== 'renewal') {
    return (await readGrants(cluster)).at(-1);
  }
  const fencing = renewal.value.leases[0]?.fencing;
  if (fencing === undefined) return undefined;
  const router = renewal.value.holder.split('/')[0] ?? '';
  return {router, fencing, at: renewal.time};
}

/** Reads the orders that an engine received, oldest first. */
export async function readEngineOrders({
  url,
}: ProxiedStandIn): Promise<JournaledOrder[]> {
  const answer = await fetch(`${url}/orders`);
  return (await answer.json()) as JournaledOrder[];
}

/**
 * Sends an engine an order to unload a model under a given fencing number, as
 * if an order of a former lease holder arrived late.
 */
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

/** Returns the document with fencing of all runner pools set. */
export function withFencing(
  document: ConfigurationDraft,
  fencing: 'enforced' | 'ignored',
): ConfigurationDraft {
  const pools = document.pools.map(pool =>
    pool.kind === 'runner' ? {...pool, fencing} : pool,
  );
  return {...document, pools};
}

/** Returns the document with one more or one fewer copy of every model. */
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
