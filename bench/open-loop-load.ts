import {setMaxListeners} from 'node:events';
import {Agent} from 'undici';
import {v7 as uuidv7} from 'uuid';
import type {ServiceClass} from '../src/config/index.js';
import {meetsTargets} from '../src/telemetry/index.js';
import {seededRandom, type Random} from '../stand-ins/index.js';
import {call, type Reply} from './caller.js';
import type {Cluster, RouterProcess} from './cluster.js';
import {demoKey} from './deployment.js';
import {WARM_UP_SECONDS, type Arrival} from './arrivals.js';

/** Time for requests to finish after the last arrival, in ms. */
const DRAIN_MS = 10_000;

/** One request and its result, as its caller saw it. */
export interface ServedRequest {
  arrival: Arrival;
  /** Absent if the call failed or was cut off at the end of the run. */
  reply?: Reply;
  /** Whether it arrived after the warm-up. */
  measured: boolean;
  /** Whether it was answered completely and met every target of its class. */
  attained: boolean;
}

/** Open-loop load: sends each request on time, however slow earlier ones are. */
export class OpenLoopLoad {
  private readonly agent = new Agent({connections: null, pipelining: 1});
  private readonly random: Random;
  private readonly cutOffController = new AbortController();
  private readonly classes = new Map<string, ServiceClass>();

  constructor(
    private readonly cluster: Cluster,
    classes: readonly ServiceClass[],
    /** Region of each zone. */
    private readonly regions: ReadonlyMap<string, string>,
    seed: number,
  ) {
    this.random = seededRandom(seed);
    setMaxListeners(0, this.cutOffController.signal);
    for (const item of classes) this.classes.set(item.name, item);
  }

  /** Sends all requests; resolves once each has ended or was cut off. */
  async run(arrivals: readonly Arrival[]): Promise<ServedRequest[]> {
    const start = performance.now();
    const running: Array<Promise<ServedRequest>> = [];
    for (const arrival of arrivals) {
      const waitMs = start + arrival.atMs - performance.now();
      if (waitMs > 1) await new Promise(r => setTimeout(r, waitMs));
      running.push(this.serve(arrival));
    }
    const cutOff = setTimeout(() => this.cutOffController.abort(), DRAIN_MS);
    const served = await Promise.all(running);
    clearTimeout(cutOff);
    await this.agent.destroy();
    return served;
  }

  private async serve(arrival: Arrival): Promise<ServedRequest> {
    const measured = arrival.atMs >= WARM_UP_SECONDS * 1_000;
    const reply = await this.send(arrival);
    if (reply === undefined) return {arrival, measured, attained: false};
    const attained = this.meetsClassTargets(arrival, reply);
    return {arrival, reply, measured, attained};
  }

  private async send(arrival: Arrival): Promise<Reply | undefined> {
    const {workspace, path, body, region} = arrival;
    const headers = arrival.keyed
      ? {...arrival.headers, 'idempotency-key': uuidv7()}
      : arrival.headers;
    const url = this.pickRouter(region).url;
    const key = demoKey(workspace);
    const options = {
      dispatcher: this.agent,
      signal: this.cutOffController.signal,
    };
    try {
      return await call({url, path, key, headers, body}, options);
    } catch {
      return undefined;
    }
  }

  /**
   * Stands in for the load balancer: picks any router in the caller's region, or
   * any router if the region has none.
   */
  private pickRouter(region: string | undefined): RouterProcess {
    const {routers} = this.cluster;
    const [first] = this.regions.values();
    const callerRegion = region ?? first;
    const inRegion = routers.filter(
      ({zone}) => this.regions.get(zone) === callerRegion,
    );
    const candidates = inRegion.length > 0 ? inRegion : routers;
    const index = Math.floor(this.random() * candidates.length);
    return candidates[index] as RouterProcess;
  }

  private meetsClassTargets(arrival: Arrival, reply: Reply): boolean {
    const targets = this.classes.get(arrival.class)?.targets;
    if (targets === undefined || reply.outcome !== 'completed') return false;
    if (!reply.ended) return false;
    // A run has no time of day for `doneBy`; batch work must end with the run.
    const latencyTargets = {...targets, doneBy: undefined};
    return meetsTargets(latencyTargets, latenciesOf(reply), Date.now());
  }
}

function latenciesOf({firstTokenMs, totalMs, tokens}: Reply) {
  const decodingMs = totalMs - (firstTokenMs ?? totalMs);
  return {
    ...(firstTokenMs === undefined ? {} : {firstTokenMs}),
    ...(tokens > 1 ? {betweenTokensMs: decodingMs / (tokens - 1)} : {}),
    completionMs: totalMs,
  };
}
