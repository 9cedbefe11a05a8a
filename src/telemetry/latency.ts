import {
  build,
  decodeFromCompressedBase64,
  encodeIntoCompressedBase64,
  type Histogram,
} from 'hdr-histogram-js';
import {z} from 'zod';
import type {RequestTimes} from './targets.js';

/** Values are recorded in units of 0.1 ms. */
const UNITS_PER_MS = 10;
/** Largest time expected, 1 h; histograms grow beyond it where needed. */
const HIGHEST_EXPECTED_UNITS = 3_600_000 * UNITS_PER_MS;
const SIGNIFICANT_DIGITS = 2;

/** Relative error of a percentile, given by the histograms' digits. */
export const LATENCY_RELATIVE_ERROR = 10 ** -SIGNIFICANT_DIGITS;

/** The latency histograms of one class, in the encoding of HdrHistogram V2. */
export const encodedLatencySchema = z.object({
  class: z.string(),
  firstToken: z.string(),
  betweenTokens: z.string(),
  completion: z.string(),
});

/** The latency histograms of one class, encoded. */
export type EncodedLatency = z.infer<typeof encodedLatencySchema>;

/** Percentiles of one latency, in ms. */
export interface Percentiles {
  count: number;
  p50: number;
  p90: number;
  p95: number;
  p99: number;
  max: number;
}

/** Moments of a request whose latency is kept. */
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

  /** Records the times of one request whose whole answer was delivered. */
  record(times: RequestTimes): void {
    record(this.histograms[LatencyKind.FirstToken], times.firstTokenMs);
    record(this.histograms[LatencyKind.BetweenTokens], times.betweenTokensMs);
    record(this.histograms[LatencyKind.Completion], times.completionMs);
  }

  /** Adds every value recorded in another. */
  merge(other: ClassLatency): void {
    for (const kind of Object.values(LatencyKind)) {
      this.histograms[kind].add(other.histograms[kind]);
    }
  }

  /** Adds every value of encoded histograms. */
  mergeEncoded(encoded: EncodedLatency): void {
    for (const kind of Object.values(LatencyKind)) {
      const text = encoded[kind];
      if (text === '') continue;
      this.histograms[kind].add(decodeFromCompressedBase64(text));
    }
  }

  /** Encodes the histograms; an empty one is an empty string. */
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

  /** Times in ms at evenly spaced percentiles, for a plot. */
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
