import type {EngineState} from './protocol.js';

/** Time after which an observation counts for a third. */
const RATE_TIME_CONSTANT_MS = 120_000;
/** How long after its last request a model counts as in use. */
const IN_USE_MS = 600_000;

interface RequestRate {
  /** Requests a second. */
  rate: number;
  lastRequestAt: number;
}

/**
 * Measures the demand for models and adapters in a pool by the counters of its
 * engines, which see the requests of every instance.
 */
export class DemandMeter {
  private readonly lastCounts = new Map<string, Record<string, number>>();
  private readonly rates = new Map<string, RequestRate>();
  private measuredAt?: number;

  /** Takes in the states of engines, by name, as read at `now`. */
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

  /** Requests a second for a model with all its adapters. */
  rateOf(model: string): number {
    let sum = 0;
    for (const [name, {rate}] of this.rates) {
      if (name === model || name.startsWith(`${model}:`)) sum += rate;
    }
    return sum;
  }

  /** Requests a second for an adapter of a model. */
  rateOfAdapter(model: string, adapter: string): number {
    return this.rates.get(`${model}:${adapter}`)?.rate ?? 0;
  }

  /** Whether a model was asked for of late, or may have been. */
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
    // Work from before the first reading shows use, but at no known rate.
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
