/**
 * Measures the cost of telemetry: CPU time of the recorder's calls for one
 * request, heap memory with the trace buffer full, and the size of a summary.
 * Run with `--expose-gc`.
 */
import {v7 as uuidv7} from 'uuid';
import {
  MeteredRecorder,
  nullRecorder,
  type AccumulatorSnapshot,
  type Recorder,
} from '../src/telemetry/index.js';
import {SystemTimer} from '../src/timer/index.js';

const WARM_UP_REQUESTS = 20_000;
const REQUESTS = 200_000;
const CLASSES = 7;
const WORKSPACES = 100;
const WEIGHED_UPSTREAMS = 6;
const MICROSECONDS_PER_MS = 1_000;
const BYTES_PER_MEBIBYTE = 1024 * 1024;

/** Makes the same recorder calls as one placed request. */
function recordRequest(recorder: Recorder, index: number): void {
  const id = uuidv7();
  const name = `class-${index % CLASSES}`;
  const workspace = `workspace-${index % WORKSPACES}`;
  const tier = index % CLASSES;
  recorder.recordDecision(id, {type: 'arrived', class: name, tier, workspace});
  recorder.recordDecision(id, {
    type: 'placed',
    upstream: 'runner-1',
    waitedMs: 3,
    weighed: Array.from({length: WEIGHED_UPSTREAMS}, (_, n) => ({
      name: `runner-${n}`,
      zone: 'delta-1',
      expectedMs: 100 + n,
      cachedTokens: 128,
      inflight: n,
    })),
  });
  const upstream = 'runner-1';
  const ms = 200 + (index % 900);
  recorder.recordDecision(id, {
    type: 'attempted',
    upstream,
    result: 'whole',
    ms,
  });
  recorder.recordResult({
    class: name,
    tier,
    workspace,
    outcome: 'completed',
    attained: true,
    firstTokenMs: 50 + (index % 300),
    betweenTokensMs: 5 + (index % 60),
    completionMs: ms,
    tokens: 100,
  });
  recorder.recordDecision(id, {type: 'ended', outcome: 'completed', ms});
}

/** CPU time of the recorder calls for one request, in microseconds. */
function cpuMicrosecondsPerRequest(recorder: Recorder): number {
  for (let n = 0; n < WARM_UP_REQUESTS; n++) recordRequest(recorder, n);
  const start = process.cpuUsage();
  for (let n = 0; n < REQUESTS; n++) recordRequest(recorder, n);
  const {user, system} = process.cpuUsage(start);
  return (user + system) / REQUESTS;
}

function heapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed + process.memoryUsage().arrayBuffers;
}

function print(name: string, value: string): void {
  process.stdout.write(`${name.padEnd(44)}${value}\n`);
}

/** Size of the figures in the summary of one minute, in bytes. */
function summaryBytes(requests: number): number {
  const recorder = new MeteredRecorder(new SystemTimer());
  let figures: AccumulatorSnapshot | undefined;
  recorder.subscribe(({counts}) => {
    figures = counts.snapshot();
  });
  for (let n = 0; n < requests; n++) recordRequest(recorder, n);
  recorder.endInterval();
  return JSON.stringify(figures).length;
}

const disabledMicroseconds = cpuMicrosecondsPerRequest(nullRecorder);
const initialHeapBytes = heapBytes();
const recorder = new MeteredRecorder(new SystemTimer());
const enabledMicroseconds = cpuMicrosecondsPerRequest(recorder);
const heldBytes = heapBytes() - initialHeapBytes;
const traceUsage = recorder.traceUsage();
const reportStart = performance.now();
const account = JSON.stringify(recorder.historySnapshot());
const reportMs = performance.now() - reportStart;

print(
  'disabled, CPU microseconds per request',
  disabledMicroseconds.toFixed(2),
);
print('enabled, CPU microseconds per request', enabledMicroseconds.toFixed(2));
print('traced requests in memory', String(traceUsage.requests));
print(
  'traces in memory, MiB',
  (traceUsage.bytes / BYTES_PER_MEBIBYTE).toFixed(2),
);
print(
  'heap growth with full traces, MiB',
  (heldBytes / BYTES_PER_MEBIBYTE).toFixed(2),
);
print('report of one instance, bytes', String(account.length));
print('time to build that report, ms', reportMs.toFixed(1));
print('summary of 20 requests, bytes', String(summaryBytes(20)));
print('summary of 1000 requests, bytes', String(summaryBytes(1_000)));
print(
  'share of a core at 16.5 requests per second',
  `${(((enabledMicroseconds - disabledMicroseconds) * 16.5) / MICROSECONDS_PER_MS / 10).toFixed(4)}%`,
);
