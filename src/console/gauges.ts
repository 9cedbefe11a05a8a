import {MetricKind, type Metric} from '../telemetry/index.js';

/** Moment values of an instance that its metrics show. */
export interface InstanceGauges {
  configurationVersion: number;
  liveInstances: number;
  queued: number;
  running: number;
  memoryBytes: number;
  /** Processor time of the process since its start, in seconds. */
  cpuSeconds: number;
  traceBytes: number;
  summariesUnsent: number;
  summariesDropped: number;
  logAppends: number;
  logReads: number;
  peerCalls: number;
  peerBytes: number;
  /** Attempts of this instance running on each upstream. */
  upstreams: ReadonlyArray<{
    name: string;
    inflight: number;
    takesWork: boolean;
  }>;
}

/** Turns the moment values of an instance into metrics. */
export function gaugeMetrics(gauges: InstanceGauges): Metric[] {
  const {Gauge, Counter} = MetricKind;
  return [
    single(
      'configuration_version',
      Gauge,
      gauges.configurationVersion,
      'Version of the configuration in force.',
    ),
    single(
      'instances',
      Gauge,
      gauges.liveInstances,
      'Live instances that this instance knows, itself included.',
    ),
    single('requests_queued', Gauge, gauges.queued, 'Requests waiting.'),
    single('requests_running', Gauge, gauges.running, 'Requests running.'),
    single(
      'memory_bytes',
      Gauge,
      gauges.memoryBytes,
      'Resident memory of the process.',
    ),
    single(
      'cpu_seconds_total',
      Counter,
      gauges.cpuSeconds,
      'Processor time of the process.',
    ),
    single(
      'trace_bytes',
      Gauge,
      gauges.traceBytes,
      'Memory that traces of requests take up.',
    ),
    single(
      'summaries_unsent',
      Gauge,
      gauges.summariesUnsent,
      'Summaries that wait for the log.',
    ),
    single(
      'summaries_dropped_total',
      Counter,
      gauges.summariesDropped,
      'Summaries given up because the log was down for too long.',
    ),
    single(
      'log_appends_total',
      Counter,
      gauges.logAppends,
      'Appends sent to the log.',
    ),
    single(
      'log_reads_total',
      Counter,
      gauges.logReads,
      'Reads sent to the log.',
    ),
    single(
      'peer_calls_total',
      Counter,
      gauges.peerCalls,
      'Calls made to peers.',
    ),
    single(
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

function single(
  name: string,
  kind: MetricKind,
  value: number,
  help: string,
): Metric {
  const samples = [{labels: {}, value}];
  return {name: `gypsumcourse_${name}`, kind, help, samples};
}
