import {MetricKind, type Metric} from '../telemetry/index.js';

/** Current readings of an instance that are exported as metrics. */
export interface InstanceGauges {
  configurationVersion: number;
  liveInstances: number;
  /** Requests in the wait queue. */
  queued: number;
  running: number;
  /** Resident memory of the process. */
  memoryBytes: number;
  /** CPU time of the process since its start, in seconds. */
  cpuSeconds: number;
  /** Memory used by request traces. */
  traceBytes: number;
  /** Summaries waiting to be appended to the log. */
  summariesUnsent: number;
  /** Summaries dropped because the log was down for too long. */
  summariesDropped: number;
  logAppends: number;
  logReads: number;
  peerCalls: number;
  peerBytes: number;
  /** Attempts of this instance in flight on each upstream. */
  upstreams: ReadonlyArray<{
    name: string;
    inflight: number;
    takesWork: boolean;
  }>;
}

/** Converts the readings of an instance to metrics. */
export function gaugeMetrics(gauges: InstanceGauges): Metric[] {
  const {Gauge, Counter} = MetricKind;
  return [
    singleSampleMetric(
      'configuration_version',
      Gauge,
      gauges.configurationVersion,
      'Version of the configuration in force.',
    ),
    singleSampleMetric(
      'instances',
      Gauge,
      gauges.liveInstances,
      'Live instances that this instance knows, itself included.',
    ),
    singleSampleMetric(
      'requests_queued',
      Gauge,
      gauges.queued,
      'Requests waiting.',
    ),
    singleSampleMetric(
      'requests_running',
      Gauge,
      gauges.running,
      'Requests running.',
    ),
    singleSampleMetric(
      'memory_bytes',
      Gauge,
      gauges.memoryBytes,
      'Resident memory of the process.',
    ),
    singleSampleMetric(
      'cpu_seconds_total',
      Counter,
      gauges.cpuSeconds,
      'Processor time of the process.',
    ),
    singleSampleMetric(
      'trace_bytes',
      Gauge,
      gauges.traceBytes,
      'Memory that traces of requests take up.',
    ),
    singleSampleMetric(
      'summaries_unsent',
      Gauge,
      gauges.summariesUnsent,
      'Summaries that wait for the log.',
    ),
    singleSampleMetric(
      'summaries_dropped_total',
      Counter,
      gauges.summariesDropped,
      'Summaries given up because the log was down for too long.',
    ),
    singleSampleMetric(
      'log_appends_total',
      Counter,
      gauges.logAppends,
      'Appends sent to the log.',
    ),
    singleSampleMetric(
      'log_reads_total',
      Counter,
      gauges.logReads,
      'Reads sent to the log.',
    ),
    singleSampleMetric(
      'peer_calls_total',
      Counter,
      gauges.peerCalls,
      'Calls made to peers.',
    ),
    singleSampleMetric(
      'peer_bytes_total',
      Counter,
      gauges.peerBytes,
      'Bytes exchanged in calls made to peers.',
    ),
    ...upstreamMetrics(gauges),
  ];
}

function upstreamMetrics({upstreams}: InstanceGauges): Metric[] {
  return [
    {
      name: 'gypsumcourse_upstream_running',
      kind: MetricKind.Gauge,
      help: 'Attempts of this instance that run on an upstream.',
      samples: upstreams.map(({name, inflight}) => ({
        labels: {upstream: name},
        value: inflight,
      })),
    },
    {
      name: 'gypsumcourse_upstream_takes_work',
      kind: MetricKind.Gauge,
      help: 'Whether the instance gives an upstream new work, 1 or 0.',
      samples: upstreams.map(({name, takesWork}) => ({
        labels: {upstream: name},
        value: takesWork ? 1 : 0,
      })),
    },
  ];
}

function singleSampleMetric(
  name: string,
  kind: MetricKind,
  value: number,
  help: string,
): Metric {
  const samples = [{labels: {}, value}];
  return {name: `gypsumcourse_${name}`, kind, help, samples};
}
