import {build, type Histogram} from 'hdr-histogram-js';
import type {Ending} from './ending.js';

/** Largest time that a histogram tells apart, in ms. */
const LONGEST_MS = 60_000;
const QUANTILES = [50, 90, 99];

/** Counters and latency histograms of forwarded requests. */
export class ForwardMetrics {
  private readonly counts = new Map<string, number>();
  private readonly times = new Map<string, Histogram>();

  /** Takes in how a request ended. */
  recordEnding({outcome, route = '', cause = ''}: Ending, ms: number): void {
    const labels = `route="${route}",outcome="${outcome}",cause="${plain(cause)}"`;
    this.counts.set(labels, (this.counts.get(labels) ?? 0) + 1);
    if (outcome !== 'answered') return;
    const histogram =
      this.times.get(route) ??
      build({
        highestTrackableValue: LONGEST_MS,
        numberOfSignificantValueDigits: 2,
      });
    this.times.set(route, histogram);
    histogram.recordValue(Math.min(LONGEST_MS, Math.max(1, ms)));
  }

  /** The text form that metrics collectors read. */
  exposition(gauges: Record<string, number>): string {
    const lines: string[] = [];
    for (const [labels, count] of this.counts) {
      lines.push(`gypsumcourse_requests_total{${labels}} ${count}`);
    }
    for (const [route, histogram] of this.times) {
      for (const quantile of QUANTILES) {
        const value = histogram.getValueAtPercentile(quantile);
        lines.push(
          `gypsumcourse_latency_ms{route="${route}",quantile="${quantile / 100}"} ${value}`,
        );
      }
      lines.push(
        `gypsumcourse_latency_ms_count{route="${route}"} ${histogram.totalCount}`,
      );
    }
    for (const [name, value] of Object.entries(gauges)) {
      lines.push(`gypsumcourse_${name} ${value}`);
    }
    return `${lines.join('\n')}\n`;
  }
}

/** A cause without what a label can't hold. */
function plain(cause: string): string {
  return cause.replaceAll(/[^\w .:-]/g, '').slice(0, 40);
}
