import type {EngineExecution, ServiceExecution} from '../stand-ins/index.js';
import type {Cluster, Proxied} from './cluster.js';
import type {Execution, History, Publication} from './history.js';
import {ordersOf} from './holder.js';
import type {Station} from './proxied-router.js';

const SIGHTING_PERIOD_MS = 200;
const RECORDS_LIMIT = 1_000;

/** A record of the configuration stream, as the log has it. */
interface SubmissionRecord {
  offset: number;
  time: number;
  value: {type: string; base: number};
}

const sleep = (ms: number) => new Promise<void>(end => setTimeout(end, ms));

/** Notes in the history what routers, upstreams and the log show. */
export class Observer {
  private watching = true;

  constructor(
    private readonly cluster: Cluster,
    private readonly history: History,
    private readonly stations: readonly Station[],
  ) {}

  /** Notes the version in force at every router, over and over. */
  async watch(): Promise<void> {
    while (this.watching) {
      await Promise.all(this.stations.map(station => this.look(station)));
      await sleep(SIGHTING_PERIOD_MS);
    }
  }

  private async look({target, number}: Station): Promise<void> {
    const at = Date.now();
    try {
      const answer = await fetch(`${target.url}/readyz`, {
        signal: AbortSignal.timeout(SIGHTING_PERIOD_MS),
      });
      const {version} = (await answer.json()) as {version: number};
      const {name: router} = target;
      this.history.sightings.push({router, process: number, version, at});
    } catch {
      return;
    }
  }

  /** Reads the journals and the publications, and ends the watch. */
  async close(): Promise<void> {
    this.watching = false;
    this.history.publications.push(...(await this.readPublications()));
    for (const upstream of this.cluster.upstreams) {
      await this.readJournal(upstream);
    }
  }

  /**
   * Reads what the log has taken, which includes submissions whose answer was
   * lost. Empty while the log is down.
   */
  async readPublications(): Promise<Publication[]> {
    const stream = `${this.cluster.log.url}/streams/configuration/records`;
    const answer = await fetch(`${stream}?from=0&limit=${RECORDS_LIMIT}`);
    if (!answer.ok) return [];
    const {records} = (await answer.json()) as {records: SubmissionRecord[]};
    return records
      .filter(({value}) => value.type === 'submission')
      .map(({offset, time, value}) => ({
        version: offset + 1,
        base: value.base,
        at: time,
      }));
  }

  /** Notes the executions of an upstream. */
  async readJournal(target: Proxied): Promise<void> {
    if (target.kind === 'runner') await this.readOrders(target);
    const entries = await this.cluster
      .journal<EngineExecution | ServiceExecution>(target)
      .catch(() => []);
    for (const entry of entries) {
      const execution = executionOf(target.name, entry);
      if (execution.startedAt > 0) this.history.executions.push(execution);
    }
  }

  /** Notes the orders that an engine took. */
  private async readOrders(target: Proxied): Promise<void> {
    const {name: upstream} = target;
    const pool = this.cluster.document.pools.find(({upstreams}) =>
      upstreams.some(({name}) => name === upstream),
    );
    const enforced = pool?.fencing === 'enforced';
    const orders = await ordersOf(target).catch(() => []);
    this.history.orders.push({upstream, enforced, orders});
  }
}

function executionOf(
  upstream: string,
  entry: EngineExecution | ServiceExecution,
): Execution {
  const {id, key} = entry;
  const known = {upstream, id, ...(key === undefined ? {} : {key})};
  if ('digest' in entry) {
    return {...known, digest: entry.digest, startedAt: entry.at};
  }
  return {...known, startedAt: entry.startedAt};
}
