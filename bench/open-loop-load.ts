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

/** Time that requests are given after the last arrival, in ms. */
const DRAIN_MS = 10_000;

/** One request and what became of it, as its caller saw it. */
export interface Served {
  arrival: Arrival;
  /** Absent when no answer began before the end of the run. */
  reply?: Reply;
  /** Whether it arrived in the measured time. */
  measured: boolean;
  /** Whether it was answered whole and within every target of its class. */
  attained: boolean;
}

/** Sends arrivals at their times, whatever became of earlier ones. */
export class OpenLoad {
  private readonly agent = new Agent({connections: null, pipelining: 1});
  private readonly random: Random;
  private readonly ending = new AbortController();
  private readonly classes = new Map<string, ServiceClass>();

  constructor(
    private readonly cluster: Cluster,
    classes: readonly ServiceClass[],
    /** Region of each zone. */
    private readonly regions: ReadonlyMap<string, string>,
    seed: number,
  ) {
    this.random = seededRandom(seed);
    setMaxListeners(0, this.ending.signal);
    for (const item of classes) this.classes.set(item.name, item);
  }

  /** Runs all arrivals and resolves once each has ended or was cut off. */
  async run(arrivals: readonly Arrival[]): Promise<Served[]> {
    const start = performance.now();
    const running: Array<Promise<Served>> = [];
    for (const arrival of arrivals) {
      const waitMs = start + arrival.atMs - performance.now();
      if (waitMs > 1) await new Promise(r => setTimeout(r, waitMs));
      running.push(this.serve(arrival));
    }
    const cutOff = setTimeout(() => this.ending.abort(), DRAIN_MS);
    const served = await Promise.all(running);
    clearTimeout(cutOff);
    await this.agent.destroy();
    return served;
  }

  private async serve(arrival: Arrival): Promise<Served> {
    const measured = arrival.atMs >= WARM_UP_SECONDS * 1_000;
    const reply = await this.send(arrival);
    if (reply === undefined) return {arrival, measured, attained: false};
    const attained = this.attains(arrival, reply);
    return {arrival, reply, measured, attained};
  }

  private async send(arrival: Arrival): Promise<Reply | undefined> {
    const {workspace, path, body, region} = arrival;
    const headers = arrival.keyed
      ? {...arrival.headers, 'idempotency-key': uuidv7()}
      : arrival.headers;
    const url = this.routerOf(region).url;
    const key = demoKey(workspace);
    const options = {dispatcher: this.agent, signal: this.ending.signal};
    try {
      return await call({url, path, key, headers, body}, options);
    } catch {
      return undefined;
    }
  }

  /** The balancer: any router of the caller's region. */
  private routerOf(region: string | undefined): RouterProcess {
    const {routers} = this.cluster;
    const [first] = this.regions.values();
    const home = region ?? first;
    const near = routers.filter(({zone}) => this.regions.get(zone) === home);
    const choice = near.length > 0 ? near : routers;
    const index = Math.floor(this.random() * choice.length);
    return choice[index] as RouterProcess;
  }

  private attains(arrival: Arrival, reply: Reply): boolean {
    const targets = this.classes.get(arrival.class)?.targets;
    if (targets === undefined || reply.outcome !== 'completed') return false;
    if (!reply.ended) return false;
    // The time of day by which batch work is done is the end of the run here.
    const latencies = {...targets, doneBy: undefined};
    return meetsTargets(latencies, timesOf(reply), Date.now());
  }
}

function timesOf({firstTokenMs, totalMs, tokens}: Reply) {
  const decodingMs = totalMs - (firstTokenMs ?? totalMs);
  return {
    ...(firstTokenMs === undefined ? {} : {firstTokenMs}),
    ...(tokens > 1 ? {betweenTokensMs: decodingMs / (tokens - 1)} : {}),
    completionMs: totalMs,
  };
}
