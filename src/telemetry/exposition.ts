import {LatencyKind} from './latency.js';
import {
  BUCKET_BOUNDS_S,
  type ClassTotals,
  type LatencyBuckets,
  type Totals,
} from './totals.js';

/** Kinds of metrics in the Prometheus text format. */
export enum MetricKind {
  Counter = 'counter',
  Gauge = 'gauge',
  Histogram = 'histogram',
}

/** One value of a metric with its labels. */
export interface Sample {
  /** Appended to the metric's name, as in `_bucket`. */
  suffix?: string;
  labels: Record<string, string>;
  value: number;
}

/** One metric with all its samples. */
export interface Metric {
  name: string;
  kind: MetricKind;
  help: string;
  samples: Sample[];
}

/** Content type of the Prometheus text format. */
export const METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8';

/** Writes metrics in the Prometheus text format. */
export function formatMetrics(metrics: readonly Metric[]): string {
  return metrics.map(formatMetric).join('');
}

function formatMetric({name, kind, help, samples}: Metric): string {
  const lines = samples.map(
    ({suffix = '', labels, value}) =>
      `${name}${suffix}${formatLabels(labels)} ${value}\n`,
  );
  return `# HELP ${name} ${help}\n# TYPE ${name} ${kind}\n${lines.join('')}`;
}

function formatLabels(labels: Record<string, string>): string {
  const parts = Object.entries(labels).map(
    ([name, value]) => `${name}="${escapeLabel(value)}"`,
  );
  return parts.length === 0 ? '' : `{${parts.join(',')}}`;
}

function escapeLabel(value: string): string {
  return value
    .replaceAll('\\', '\\\\')
    .replaceAll('"', '\\"')
    .replaceAll('\n', '\\n');
}

const MOMENT_METRICS = [
  {
    moment: LatencyKind.FirstToken,
    name: 'gypsumcourse_first_token_seconds',
    help: 'Time from arrival to the first token of whole answers.',
  },
  {
    moment: LatencyKind.BetweenTokens,
    name: 'gypsumcourse_between_tokens_seconds',
    help: 'Mean time between tokens of each whole answer.',
  },
  {
    moment: LatencyKind.Completion,
    name: 'gypsumcourse_completion_seconds',
    help: 'Time from arrival to the end of whole answers.',
  },
] as const;

/** Turns the totals of a process into metrics. */
export function metricsOf(totals: Totals): Metric[] {
  const classes = [...totals.classes.values()];
  return [
    {
      name: 'gypsumcourse_requests_total',
      kind: MetricKind.Counter,
      help: 'Requests that ended, by class, tier and outcome.',
      samples: classes.flatMap(outcomeSamples),
    },
    {
      name: 'gypsumcourse_requests_attained_total',
      kind: MetricKind.Counter,
      help: 'Requests answered whole that met every target of their class.',
      samples: classes.map(item => sample(item, item.attained)),
    },
    {
      name: 'gypsumcourse_tokens_total',
      kind: MetricKind.Counter,
      help: 'Generated tokens of whole answers.',
      samples: classes.map(item => sample(item, item.tokens)),
    },
    ...MOMENT_METRICS.map(({moment, name, help}) => ({
      name,
      kind: MetricKind.Histogram,
      help,
      samples: classes.flatMap(item =>
        bucketSamples(item.class, item.latencies[moment]),
      ),
    })),
    {
      name: 'gypsumcourse_wasted_tokens_total',
      kind: MetricKind.Counter,
      help: 'Tokens generated for no caller, by cause and class.',
      samples: pairSamples(totals.wastedTokens, 'cause', 'class'),
    },
    {
      name: 'gypsumcourse_link_bytes_total',
      kind: MetricKind.Counter,
      help: 'Bytes sent over paid links, by link and cause.',
      samples: pairSamples(totals.linkBytes, 'link', 'cause'),
    },
  ];
}

function sample(totals: ClassTotals, value: number): Sample {
  return {labels: {class: totals.class, tier: String(totals.tier)}, value};
}

function outcomeSamples(totals: ClassTotals): Sample[] {
  return [...totals.outcomes].map(([outcome, value]) => ({
    labels: {class: totals.class, tier: String(totals.tier), outcome},
    value,
  }));
}

function bucketSamples(name: string, buckets: LatencyBuckets): Sample[] {
  let sum = 0;
  const samples: Sample[] = buckets.counts.map((count, index) => {
    sum += count;
    const le = String(BUCKET_BOUNDS_S[index] ?? '+Inf');
    return {suffix: '_bucket', labels: {class: name, le}, value: sum};
  });
  samples.push(
    {suffix: '_sum', labels: {class: name}, value: buckets.sumSeconds},
    {suffix: '_count', labels: {class: name}, value: sum},
  );
  return samples;
}

function pairSamples(
  values: ReadonlyMap<string, number>,
  first: string,
  second: string,
): Sample[] {
  return [...values].map(([key, value]) => {
    const [a = '', b = ''] = key.split('/');
    return {labels: {[first]: a, [second]: b}, value};
  });
}
