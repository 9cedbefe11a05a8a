import {
  build,
  decodeFromCompressedBase64,
  encodeIntoCompressedBase64,
  type Histogram,
} from 'hdr-histogram-js';
import {z} from 'zod';
import type {RequestTimes} from './targets.js';

/** Histograms record times in units of 0.1 ms. */
const UNITS_PER_MS = 10;
/** Initial range of the histograms, 1 h; they grow as needed. */
const HIGHEST_EXPECTED_UNITS = 3_600_000 * UNITS_PER_MS;
const SIGNIFICANT_DIGITS = 2;

/** Relative error of a percentile, from [[SIGNIFICANT_DIGITS]]. */
export const LATENCY_RELATIVE_ERROR = 10 ** -SIGNIFICANT_DIGITS;

/** Schema of [[EncodedLatency]]. */
export const encodedLatencySchema = z.object({
  class: z.string(),
  firstToken: z.string(),
  betweenTokens: z.string(),
  completion: z.string(),
});

/**
 * The latency histograms of one class, each as the base64 text of HdrHistogram
 * V2's compressed encoding, or empty if nothing was recorded.
 */
export type EncodedLatency = z.infer<typeof encodedLatencySchema>;

/** Number of recorded values of one latency, and percentiles in ms. */
export interface Percentiles {
  count: number;
  p50: number;
  p90: number;
  p95: number;
  p99: number;
  max: number;
}

/** Latencies of a request that are recorded. */
export enum LatencyKind {
  FirstToken = 'firstToken',
  BetweenTokens = 'betweenTokens',
  Completion = 'completion',
}

/** Latency histograms of the requests of one class. */
export class ClassLatency {
  private readonly histograms = {
    [LatencyKind.FirstToken]: emptyHistogram(),
    [LatencyKind.BetweenTokens]: emptyHistogram(),
    [LatencyKind.Completion]: emptyHistogram(),
  };

  /** Records the times of a request whose complete answer was delivered. */
  record(times: RequestTimes): void {
    record(this.histograms[LatencyKind.FirstToken], times.firstTokenMs);
    record(this.histograms[LatencyKind.BetweenTokens], times.betweenTokensMs);
    record(this.histograms[LatencyKind.Completion], times.completionMs);
  }

  /** Adds every value recorded in `other`. */
  merge(other: ClassLatency): void {
    for (const kind of Object.values(LatencyKind)) {
      this.histograms[kind].add(other.histograms[kind]);
    }
  }

  /** Adds every value of the encoded histograms. */
  mergeEncoded(encoded: EncodedLatency): void {
    for (const kind of Object.values(LatencyKind)) {
      const text = encoded[kind];
      if (text === '') continue;
      this.histograms[kind].add(decodeFromCompressedBase64(text));
    }
  }

  /** Encodes the histograms, an empty one as an empty string. */
  encode(className: string): EncodedLatency {
    return {
      class: className,
      firstToken: encode(this.histograms[LatencyKind.FirstToken]),
      betweenTokens: encode(this.histograms[LatencyKind.BetweenTokens]),
      completion: encode(this.histograms[LatencyKind.Completion]),
    };
  }

  /** Percentiles of one latency, in ms. */
  percentiles(kind: LatencyKind): Percentiles {
    const histogram = this.histograms[kind];
    const valueAt = (percentile: number) =>
      histogram.getValueAtPercentile(percentile) / UNITS_PER_MS;
    return {
      count: histogram.totalCount,
      p50: valueAt(50),
      p90: valueAt(90),
      p95: valueAt(95),
      p99: valueAt(99),
      max: histogram.totalCount === 0 ? 0 : histogram.maxValue / UNITS_PER_MS,
    };
  }

  /** Times in ms at `points` evenly spaced percentiles, for a plot. */
  percentileCurve(kind: LatencyKind, points: number): number[] {
    const histogram = this.histograms[kind];
    return Array.from(
      {length: points},
      (_, index) =>
        histogram.getValueAtPercentile((100 * index) / (points - 1)) /
        UNITS_PER_MS,
    );
  }
}

function emptyHistogram(): Histogram {
  return build({
    bitBucketSize: 32,
    autoResize: true,
    highestTrackableValue: HIGHEST_EXPECTED_UNITS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
}

function record(histogram: Histogram, ms: number | undefined): void {
  if (ms === undefined || !(ms >= 0)) return;
  histogram.recordValue(Math.round(ms * UNITS_PER_MS));
}

function encode(histogram: Histogram): string {
  return histogram.totalCount === 0
    ? ''
    : encodeIntoCompressedBase64(histogram);
}
