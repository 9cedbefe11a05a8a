import type {RequestResult} from './decision.js';
import {LatencyKind} from './latency.js';
import type {RequestTimes} from './targets.js';

/** Upper bounds of the buckets of latency metrics, in seconds. */
export const BUCKET_BOUNDS_S = [
  0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1, 2, 5, 10, 30, 60, 300,
];

/** Counts of one latency by bucket of [[BUCKET_BOUNDS_S]]. */
export class LatencyBuckets {
  /** Values in each bucket alone; the last one has no upper bound. */
  readonly counts = new Array<number>(BUCKET_BOUNDS_S.length + 1).fill(0);
  sumSeconds = 0;

  record(ms: number): void {
    const seconds = ms / 1_000;
    const found = BUCKET_BOUNDS_S.findIndex(bound => seconds <= bound);
    const index = found === -1 ? BUCKET_BOUNDS_S.length : found;
    this.counts[index] = (this.counts[index] ?? 0) + 1;
    this.sumSeconds += seconds;
  }
}

/** Counters of one class since the start of the process. */
export interface ClassTotals {
  class: string;
  tier: number;
  /** Requests by outcome. */
  outcomes: Map<string, number>;
  /** Requests that met every target. */
  attained: number;
  /** Generated tokens of completed requests. */
  tokens: number;
  latencies: Record<LatencyKind, LatencyBuckets>;
}

/** Counters since the start of the process, never reset. */
export class Totals {
  readonly classes = new Map<string, ClassTotals>();
  /** Generated tokens that reached no caller, keyed by `cause/class`. */
  readonly wastedTokens = new Map<string, number>();
  /** Bytes sent over paid links, keyed by `link/cause`. */
  readonly linkBytes = new Map<string, number>();

  recordResult(result: RequestResult): void {
    const totals = this.classTotals(result);
    increment(totals.outcomes, result.outcome, 1);
    if (result.attained) totals.attained++;
    if (result.outcome !== 'completed') return;
    totals.tokens += result.tokens;
    recordTimes(totals.latencies, result);
  }

  addWastedTokens(cause: string, workClass: string, tokens: number): void {
    increment(this.wastedTokens, `${cause}/${workClass}`, tokens);
  }

  addLinkBytes(link: string, cause: string, bytes: number): void {
    increment(this.linkBytes, `${link}/${cause}`, bytes);
  }

  private classTotals(result: RequestResult): ClassTotals {
    const existing = this.classes.get(result.class);
    if (existing !== undefined) return existing;
    const totals: ClassTotals = {
      class: result.class,
      tier: result.tier,
      outcomes: new Map(),
      attained: 0,
      tokens: 0,
      latencies: {
        [LatencyKind.FirstToken]: new LatencyBuckets(),
        [LatencyKind.BetweenTokens]: new LatencyBuckets(),
        [LatencyKind.Completion]: new LatencyBuckets(),
      },
    };
    this.classes.set(result.class, totals);
    return totals;
  }
}

function recordTimes(
  latencies: Record<LatencyKind, LatencyBuckets>,
  times: RequestTimes,
): void {
  const {firstTokenMs, betweenTokensMs, completionMs} = times;
  if (firstTokenMs !== undefined) {
    latencies[LatencyKind.FirstToken].record(firstTokenMs);
  }
  if (betweenTokensMs !== undefined) {
    latencies[LatencyKind.BetweenTokens].record(betweenTokensMs);
  }
  latencies[LatencyKind.Completion].record(completionMs);
}

function increment(map: Map<string, number>, key: string, by: number): void {
  map.set(key, (map.get(key) ?? 0) + by);
}
