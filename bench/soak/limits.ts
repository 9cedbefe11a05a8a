import type {ServerResponse} from 'node:http';
import {Random} from '../random.js';
import {BOUNDS} from './deployment.js';
import {Nature, type Arrival, type SoakHistory} from './history.js';
import type {Finding} from './promise.js';

/** Windows in which requests are counted, in ms. */
const WINDOW_MS = 4_000;
/** Time after an answer from which its gateway is held to the rate, in ms. */
const TOLD_MS = 500;
/** Most requests that are allowed in a window beside those of the rate. */
const EXTRA = 5;
const FACTOR = 1.5;
const RATES = [0.5, 1, 2, 5, 10, 20];
/** Time from the start until upstreams declare rates, in ms. */
const FIRST_MS = 2_000;
const SEED_FACTOR = 0x27d4eb2f;

interface LimitedArrival {
  request: string;
  gateway: string;
  at: number;
}

/** What a process of an upstream declared, and what it got. */
class LimitedProcess {
  readonly arrivals: LimitedArrival[] = [];
  /** When each gateway first had an answer with the rate. */
  readonly toldAt = new Map<string, number>();
  firstToldAt?: number;

  constructor(readonly perSecond: number) {}

  get allowed(): number {
    return FACTOR * this.perSecond * (WINDOW_MS / 1_000) + EXTRA;
  }
}

/** Upstreams that declare rates, and how gateways keep to them. */
export class DeclaredLimits {
  private readonly rates = new Map<string, number>();
  private readonly processes = new Map<string, LimitedProcess>();
  private declaresFrom = Infinity;
  private declaresUntil = Infinity;
  private readonly random: Random;

  constructor(
    seed: number,
    /** Share of the upstreams that declare a rate. */
    private readonly share: number,
    private readonly history: SoakHistory,
  ) {
    this.random = new Random(Math.imul(seed, SEED_FACTOR));
  }

  start(): void {
    this.declaresFrom = this.history.now() + FIRST_MS;
  }

  /** Lets the upstreams declare nothing any more. */
  stop(): void {
    this.declaresUntil = this.history.now();
  }

  /** Requests a second that an upstream declares now, if any. */
  private rateOf(upstream: string): number | undefined {
    const now = this.history.now();
    if (now < this.declaresFrom || now >= this.declaresUntil) return undefined;
    const known = this.rates.get(upstream);
    if (known !== undefined) return known === 0 ? undefined : known;
    const isLimited = this.random.next() < this.share;
    const rate = isLimited ? this.random.pick(RATES) : 0;
    this.rates.set(upstream, rate);
    return isLimited ? rate : undefined;
  }

  /**
   * States the declared rate of an upstream, if there is one, in the head of an
   * answer, and notes the request.
   */
  declare(arrival: Arrival, response: ServerResponse): void {
    const {upstream, incarnation, request, at} = arrival;
    const perSecond = this.rateOf(upstream);
    const gateway = this.history.requests.get(request)?.gateway;
    if (perSecond === undefined || gateway === undefined) return;
    const name = `${upstream}/${incarnation}`;
    const process = this.processes.get(name) ?? new LimitedProcess(perSecond);
    this.processes.set(name, process);
    process.arrivals.push({request, gateway, at});
    response.setHeader('server-limit', perSecond);
    response.once('close', () => {
      if (!response.headersSent) return;
      const now = this.history.now();
      process.firstToldAt ??= now;
      if (!process.toldAt.has(gateway)) process.toldAt.set(gateway, now);
    });
  }

  /** Finds windows in which a process got more than is allowed. */
  check(): Finding[] {
    return [...this.processes].flatMap(([name, limited]): Finding[] => {
      const judged = this.judgedArrivals(limited);
      for (const [index, {at, request}] of judged.entries()) {
        const count = countWithin(judged, index);
        if (count <= limited.allowed) continue;
        const message = `${name} got ${count} requests in ${WINDOW_MS} ms at ${limited.perSecond} a second`;
        return [{request, message, at, touchedByStall: false}];
      }
      return [];
    });
  }

  /** Highest count in a window as a share of the allowed, by process. */
  summarize(): Record<string, number> {
    const shares = [...this.processes].map(([name, limited]) => {
      const judged = this.judgedArrivals(limited);
      const counts = judged.map((_, index) => countWithin(judged, index));
      const share = Math.max(0, ...counts) / limited.allowed;
      return [`${name} at ${limited.perSecond}`, Math.round(share * 100) / 100];
    });
    return Object.fromEntries(shares) as Record<string, number>;
  }

  private judgedArrivals({
    arrivals,
    toldAt,
    firstToldAt,
  }: LimitedProcess): LimitedArrival[] {
    const from = (firstToldAt ?? Infinity) + BOUNDS.stableWindowMs;
    return arrivals.filter(({gateway, at}) => {
      const told = toldAt.get(gateway) ?? Infinity;
      if (at < from || at < told + TOLD_MS) return false;
      return this.history
        .disruptionsOf([gateway], at - BOUNDS.stableWindowMs, at)
        .every(({nature}) => nature === Nature.Reload);
    });
  }
}

function countWithin(arrivals: LimitedArrival[], first: number): number {
  const from = arrivals[first]?.at ?? 0;
  return arrivals.filter(({at}) => at >= from && at < from + WINDOW_MS).length;
}
