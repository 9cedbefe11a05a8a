import type {EngineExecution, ServiceExecution} from '../stand-ins/index.js';
import type {Cluster, ProxiedStandIn} from './cluster.js';
import type {Execution, History, Publication} from './history.js';
import {readEngineOrders} from './leases.js';
import type {ProxiedRouter} from './proxied-router.js';

const SIGHTING_PERIOD_MS = 200;
const MAX_RECORDS = 1_000;

/** A record of the configuration stream in the log; `time` in wall-clock ms. */
interface SubmissionRecord {
  offset: number;
  time: number;
  value: {type: string; base: number};
}

const sleep = (ms: number) => new Promise<void>(end => setTimeout(end, ms));

/**
 * Records in the history which versions the routers report, what the upstreams
 * executed and which configurations the log accepted.
 */
export class Observer {
  private watching = true;

  constructor(
    private readonly cluster: Cluster,
    private readonly history: History,
    private readonly routers: readonly ProxiedRouter[],
  ) {}

  /** Records the version in force at every router until closed. */
  async watchVersions(): Promise<void> {
    while (this.watching) {
      await Promise.all(this.routers.map(router => this.recordVersion(router)));
      await sleep(SIGHTING_PERIOD_MS);
    }
  }

  private async recordVersion({
    instance: target,
    processNumber: number,
  }: ProxiedRouter): Promise<void> {
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

  /** Stops polling versions and records the publications and journals. */
  async close(): Promise<void> {
    this.watching = false;
    this.history.publications.push(...(await this.readPublications()));
    for (const upstream of this.cluster.upstreams) {
      await this.readJournal(upstream);
    }
  }

  /**
   * Reads all submissions in the log, including those whose acknowledgement was
   * lost. Returns none while the log is down.
   */
  async readPublications(): Promise<Publication[]> {
    const stream = `${this.cluster.log.url}/streams/configuration/records`;
    const answer = await fetch(`${stream}?from=0&limit=${MAX_RECORDS}`);
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

  /** Records the executions of an upstream, and the orders of a runner. */
  async readJournal(target: ProxiedStandIn): Promise<void> {
    if (target.kind === 'runner') await this.readOrders(target);
    const entries = await this.cluster
      .journal<EngineExecution | ServiceExecution>(target)
      .catch(() => []);
    for (const entry of entries) {
      const execution = executionOf(target.name, entry);
      if (execution.startedAt > 0) this.history.executions.push(execution);
    }
  }

  /** Records the orders that an engine received. */
  private async readOrders(target: ProxiedStandIn): Promise<void> {
    const {name: upstream} = target;
    const pool = this.cluster.document.pools.find(({upstreams}) =>
      upstreams.some(({name}) => name === upstream),
    );
    const enforced = pool?.fencing === 'enforced';
    const orders = await readEngineOrders(target).catch(() => []);
    this.history.orders.push({upstream, enforced, orders});
  }
}

function executionOf(
  upstream: string,
  entry: EngineExecution | ServiceExecution,
): Execution {
  const {id, key} = entry;
  const base = {upstream, id, ...(key === undefined ? {} : {key})};
  if ('digest' in entry) {
    return {...base, digest: entry.digest, startedAt: entry.at};
  }
  return {...base, startedAt: entry.startedAt};
}
