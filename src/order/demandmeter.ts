import type {EngineState} from './protocol.js';

/** Time after which an observation counts for a third. */
const DECAY_MS = 120_000;
/** How long after its last request a model counts as in use. */
const IN_USE_MS = 600_000;

interface Meter {
  /** Requests a second. */
  rate: number;
  askedAt: number;
}

/**
 * Measures the demand for models and adapters in a pool by the counters of its
 * engines, which see the requests of every instance.
 */
export class DemandMeter {
  private readonly counters = new Map<string, Record<string, number>>();
  private readonly meters = new Map<string, Meter>();
  private measuredAt?: number;

  /** Takes in the states of engines, by name, as read at `now`. */
  measure(states: ReadonlyMap<string, EngineState>, now: number): void {
    const elapsedMs = now - (this.measuredAt ?? now);
    this.measuredAt = now;
    const asked = new Map<string, number>();
    for (const [engine, state] of states) {
      for (const [name, count] of this.newlyAsked(engine, state.asked)) {
        asked.set(name, (asked.get(name) ?? 0) + count);
      }
    }
    if (elapsedMs > 0) this.update(asked, elapsedMs, now);
  }

  /** Requests a second for a model with all its adapters. */
  rateOf(model: string): number {
    let sum = 0;
    for (const [name, {rate}] of this.meters) {
      if (name === model || name.startsWith(`${model}:`)) sum += rate;
    }
    return sum;
  }

  /** Requests a second for an adapter of a model. */
  rateOfAdapter(model: string, adapter: string): number {
    return this.meters.get(`${model}:${adapter}`)?.rate ?? 0;
  }

  /** Whether a model was asked for of late, or may have been. */
  inUse(model: string, now: number): boolean {
    if (this.measuredAt === undefined) return true;
    for (const [name, {askedAt}] of this.meters) {
      const matches = name === model || name.startsWith(`${model}:`);
      if (matches && now - askedAt < IN_USE_MS) return true;
    }
    return false;
  }

  private newlyAsked(
    engine: string,
    counts: Record<string, number>,
  ): Array<[string, number]> {
    const before = this.counters.get(engine);
    this.counters.set(engine, counts);
    // Work from before the first reading shows use, but at no known rate.
    if (before === undefined) return this.noteUse(counts);
    return Object.entries(counts).map(([name, count]) => {
      const former = before[name] ?? 0;
      return [name, count < former ? count : count - former];
    });
  }

  private noteUse(counts: Record<string, number>): Array<[string, number]> {
    const askedAt = this.measuredAt ?? 0;
    for (const name of Object.keys(counts)) {
      if (!this.meters.has(name)) this.meters.set(name, {rate: 0, askedAt});
    }
    return [];
  }

  private update(
    asked: ReadonlyMap<string, number>,
    elapsedMs: number,
    now: number,
  ): void {
    const kept = Math.exp(-elapsedMs / DECAY_MS);
    for (const meter of this.meters.values()) meter.rate *= kept;
    for (const [name, count] of asked) {
      if (count === 0) continue;
      const rate = (count / elapsedMs) * 1_000 * (1 - kept);
      const former = this.meters.get(name)?.rate ?? 0;
      this.meters.set(name, {rate: former + rate, askedAt: now});
    }
  }
}
