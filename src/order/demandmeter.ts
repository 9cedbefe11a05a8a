import type {EngineState} from './protocol.js';

/** Time after which the weight of a count has fallen to 1/e, about a third. */
const RATE_TIME_CONSTANT_MS = 120_000;
/** How long after its last request a model counts as in use. */
const IN_USE_MS = 600_000;

/** Request rate of a model or adapter. */
interface RequestRate {
  /** Smoothed rate, in requests/s. */
  rate: number;
  /** Monotonic ms. */
  lastRequestAt: number;
}

/**
 * Measures request rates of the models and adapters in a pool, from the request
 * counters of its engines. These include the requests of all instances.
 */
export class DemandMeter {
  private readonly lastCounts = new Map<string, Record<string, number>>();
  /** By `MODEL` or `MODEL:ADAPTER`. */
  private readonly rates = new Map<string, RequestRate>();
  private measuredAt?: number;

  /** Updates the rates with engine states, by name, read at `now` (ms). */
  measure(states: ReadonlyMap<string, EngineState>, now: number): void {
    const elapsedMs = now - (this.measuredAt ?? now);
    this.measuredAt = now;
    const newRequests = new Map<string, number>();
    for (const [engine, state] of states) {
      for (const [name, count] of this.countNewRequests(engine, state.asked)) {
        newRequests.set(name, (newRequests.get(name) ?? 0) + count);
      }
    }
    if (elapsedMs > 0) this.update(newRequests, elapsedMs, now);
  }

  /** Requests/s for a model, including its adapters. */
  rateOf(model: string): number {
    let sum = 0;
    for (const [name, {rate}] of this.rates) {
      if (name === model || name.startsWith(`${model}:`)) sum += rate;
    }
    return sum;
  }

  /** Requests/s for an adapter of a model. */
  rateOfAdapter(model: string, adapter: string): number {
    return this.rates.get(`${model}:${adapter}`)?.rate ?? 0;
  }

  /** Whether a model was requested recently; true before a measurement. */
  inUse(model: string, now: number): boolean {
    if (this.measuredAt === undefined) return true;
    for (const [name, {lastRequestAt}] of this.rates) {
      const matches = name === model || name.startsWith(`${model}:`);
      if (matches && now - lastRequestAt < IN_USE_MS) return true;
    }
    return false;
  }

  private countNewRequests(
    engine: string,
    counts: Record<string, number>,
  ): Array<[string, number]> {
    const previous = this.lastCounts.get(engine);
    this.lastCounts.set(engine, counts);
    // The first counts show which models are in use, but give no rate.
    if (previous === undefined) return this.markInUse(counts);
    return Object.entries(counts).map(([name, count]) => {
      const previousCount = previous[name] ?? 0;
      return [name, count < previousCount ? count : count - previousCount];
    });
  }

  private markInUse(counts: Record<string, number>): Array<[string, number]> {
    const lastRequestAt = this.measuredAt ?? 0;
    for (const name of Object.keys(counts)) {
      if (!this.rates.has(name)) this.rates.set(name, {rate: 0, lastRequestAt});
    }
    return [];
  }

  private update(
    newRequests: ReadonlyMap<string, number>,
    elapsedMs: number,
    now: number,
  ): void {
    const decay = Math.exp(-elapsedMs / RATE_TIME_CONSTANT_MS);
    for (const entry of this.rates.values()) entry.rate *= decay;
    for (const [name, count] of newRequests) {
      if (count === 0) continue;
      const increase = (count / elapsedMs) * 1_000 * (1 - decay);
      const previous = this.rates.get(name)?.rate ?? 0;
      this.rates.set(name, {rate: previous + increase, lastRequestAt: now});
    }
  }
}
