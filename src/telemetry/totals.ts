import type {RequestResult} from './decision.js';
import {LatencyKind} from './latency.js';
import type {RequestTimes} from './targets.js';

/** Upper bounds of the buckets of latency metrics, in seconds. */
export const BUCKET_BOUNDS_S = [
  0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1, 2, 5, 10, 30, 60, 300,
];

/** Cumulative counts of one latency, in the form of a Prometheus histogram. */
export class LatencyBuckets {
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
  attained: number;
  tokens: number;
  latencies: Record<LatencyKind, LatencyBuckets>;
}

/** Counters since the start of the process. They only grow. */
export class Totals {
  readonly classes = new Map<string, ClassTotals>();
  /** Wasted tokens by cause and class, keyed by `cause/class`. */
  readonly wastedTokens = new Map<string, number>();
  /** Bytes over paid links by link and cause, keyed by `link/cause`. */
  readonly linkBytes = new Map<string, number>();

  recordResult(observation: RequestResult): void {
    const totals = this.classTotals(observation);
    increase(totals.outcomes, observation.outcome, 1);
    if (observation.attained) totals.attained++;
    if (observation.outcome !== 'completed') return;
    totals.tokens += observation.tokens;
    recordTimes(totals.latencies, observation);
  }

  addWastedTokens(cause: string, workClass: string, tokens: number): void {
    increase(this.wastedTokens, `${cause}/${workClass}`, tokens);
  }

  addLinkBytes(link: string, cause: string, bytes: number): void {
    increase(this.linkBytes, `${link}/${cause}`, bytes);
  }

  private classTotals(observation: RequestResult): ClassTotals {
    const known = this.classes.get(observation.class);
    if (known !== undefined) return known;
    const totals: ClassTotals = {
      class: observation.class,
      tier: observation.tier,
      outcomes: new Map(),
      attained: 0,
      tokens: 0,
      latencies: {
        [LatencyKind.FirstToken]: new LatencyBuckets(),
        [LatencyKind.BetweenTokens]: new LatencyBuckets(),
        [LatencyKind.Completion]: new LatencyBuckets(),
      },
    };
    this.classes.set(observation.class, totals);
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

function increase(map: Map<string, number>, key: string, by: number): void {
  map.set(key, (map.get(key) ?? 0) + by);
}
