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
const HIGHEST_UNITS = 3_600_000 * UNITS_PER_MS;
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
    for (const moment of Object.values(LatencyKind)) {
      this.histograms[moment].add(other.histograms[moment]);
    }
  }

  /** Adds every value of encoded histograms. */
  mergeEncoded(encoded: EncodedLatency): void {
    for (const moment of Object.values(LatencyKind)) {
      const text = encoded[moment];
      if (text === '') continue;
      this.histograms[moment].add(decodeFromCompressedBase64(text));
    }
  }

  /** Encodes the histograms; an empty one is an empty string. */
  encode(name: string): EncodedLatency {
    return {
      class: name,
      firstToken: encode(this.histograms[LatencyKind.FirstToken]),
      betweenTokens: encode(this.histograms[LatencyKind.BetweenTokens]),
      completion: encode(this.histograms[LatencyKind.Completion]),
    };
  }

  /** Percentiles of one latency, in ms. */
  percentiles(moment: LatencyKind): Percentiles {
    const histogram = this.histograms[moment];
    const at = (percentile: number) =>
      histogram.getValueAtPercentile(percentile) / UNITS_PER_MS;
    return {
      count: histogram.totalCount,
      p50: at(50),
      p90: at(90),
      p95: at(95),
      p99: at(99),
      max: histogram.totalCount === 0 ? 0 : histogram.maxValue / UNITS_PER_MS,
    };
  }

  /** Times in ms at evenly spaced percentiles, for a plot. */
  percentileCurve(moment: LatencyKind, points: number): number[] {
    const histogram = this.histograms[moment];
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
    highestTrackableValue: HIGHEST_UNITS,
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
