import {build, type Histogram} from 'hdr-histogram-js';
import type {AnswerFault} from './answers.js';
import type {Ending} from './ending.js';
import {isCharged, type RepeatCause} from './repeatcause.js';

/** Largest latency that the histograms can record, in ms. */
const MAX_TRACKABLE_MS = 60_000;
const QUANTILES = [50, 90, 99];

/** Counters and latency histograms of forwarded requests. */
export class ForwardMetrics {
  private readonly requestCounts = new Map<string, number>();
  private readonly repeatCounts = new Map<string, number>();
  private readonly answerFaultCounts = new Map<string, number>();
  private readonly latencies = new Map<string, Histogram>();

  /** Counts the end of a request, and its latency if it was answered. */
  recordEnding({outcome, route = '', cause = ''}: Ending, ms: number): void {
    const labels = `route="${route}",outcome="${outcome}",cause="${labelValue(cause)}"`;
    this.requestCounts.set(labels, (this.requestCounts.get(labels) ?? 0) + 1);
    if (outcome !== 'answered') return;
    const histogram =
      this.latencies.get(route) ??
      build({
        highestTrackableValue: MAX_TRACKABLE_MS,
        numberOfSignificantValueDigits: 2,
      });
    this.latencies.set(route, histogram);
    histogram.recordValue(Math.min(MAX_TRACKABLE_MS, Math.max(1, ms)));
  }

  /** Counts a request that was sent to an upstream of a service once more. */
  recordRepeat(service: string, cause: RepeatCause): void {
    const labels = `service="${service}",cause="${cause}",charged="${isCharged(cause)}"`;
    this.repeatCounts.set(labels, (this.repeatCounts.get(labels) ?? 0) + 1);
  }

  /**
   * Counts an answer that was broken off here; `ofRequest`: whether it answered a
   * caller's request, and not a question of this instance.
   */
  recordAnswerFault(fault: AnswerFault, ofRequest: boolean): void {
    const labels = `cause="${fault}",asked_by="${ofRequest ? 'caller' : 'instance'}"`;
    const count = this.answerFaultCounts.get(labels) ?? 0;
    this.answerFaultCounts.set(labels, count + 1);
  }

  /** Metrics in the Prometheus text format; `gauges` adds plain values. */
  exposition(gauges: Record<string, number>): string {
    const lines: string[] = [];
    for (const [labels, count] of this.requestCounts) {
      lines.push(`gypsumcourse_requests_total{${labels}} ${count}`);
    }
    for (const [labels, count] of this.repeatCounts) {
      lines.push(`gypsumcourse_repeats_total{${labels}} ${count}`);
    }
    for (const [labels, count] of this.answerFaultCounts) {
      lines.push(`gypsumcourse_answers_broken_off_total{${labels}} ${count}`);
    }
    for (const [route, histogram] of this.latencies) {
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

/** Removes characters that are not allowed in labels; at most 40 remain. */
function labelValue(cause: string): string {
  return cause.replaceAll(/[^\w .:-]/g, '').slice(0, 40);
}
