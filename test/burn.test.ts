import {describe, expect, it} from 'vitest';
import {err, ok} from 'neverthrow';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {Log} from '../src/platform/index.js';
import {alertsOf} from '../src/report/alert.js';
import {
  burnReport,
  contributionsFromSummaries,
  Reporter,
  Source,
  type ReporterParts,
} from '../src/report/index.js';
import {readSummaries} from '../src/report/summaries.js';
import {
  ClassLatency,
  LATENCY_RELATIVE_ERROR,
  MeteredRecorder,
  LatencyKind,
  openStderrLogger,
  Level,
  Summarizer,
  TRACE_LIMIT_BYTES,
  TraceStore,
  type RequestResult,
  type Summary,
} from '../src/telemetry/index.js';
import {nextTimeOfDay} from '../src/telemetry/targets.js';
import {ManualTimer} from '../src/timer/index.js';

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;

const observation = (given: Partial<RequestResult> = {}): RequestResult => ({
  class: 'chat',
  tier: 1,
  workspace: 'lab',
  outcome: 'completed',
  attained: true,
  firstTokenMs: 100,
  completionMs: 300,
  tokens: 10,
  ...given,
});

const missed = observation({outcome: 'not_run', attained: false, tokens: 0});

/** In-memory log that can be down, or append a record but report failure. */
class MemoryLog implements Log {
  records: Array<{offset: number; time: number; value: unknown}> = [];
  down = false;
  losesAnswers = false;

  constructor(private readonly timer: ManualTimer) {}

  append(_stream: string, value: unknown) {
    if (this.down) return Promise.resolve(unavailable('append'));
    const offset = this.records.length;
    this.records.push({offset, time: this.timer.wallNow(), value});
    return Promise.resolve(
      this.losesAnswers ? unavailable('append') : ok(offset),
    );
  }

  read(_stream: string, {from, limit = 500}: {from: number; limit?: number}) {
    if (this.down) return Promise.resolve(unavailable('read'));
    const records = this.records.slice(from, from + limit);
    return Promise.resolve(ok({records, first: 0, next: this.records.length}));
  }
}

const unavailable = (operation: string) =>
  err({type: 'refused', operation, status: 503} as const);

/** Starts an incarnation that counts requests and writes summaries. */
function startInstance(timer: ManualTimer, log: Log, incarnation: number) {
  const recorder = new MeteredRecorder(timer);
  const summarizer = new Summarizer(
    {instance: 'a', incarnation},
    recorder,
    log,
    timer,
    openStderrLogger(Level.Silent),
    () => 1,
  );
  summarizer.start();
  return {recorder, summarizer};
}

const totalsOf = (
  summaries: Summary[],
  timer: ManualTimer,
  liveIncarnation = '',
) =>
  contributionsFromSummaries(
    summaries,
    new Set([liveIncarnation]),
    new Set(),
    timer.wallNow(),
  ).contributions.flatMap(({account}) =>
    (account.windows.at(-1)?.cells ?? []).map(({total}) => total),
  );

describe('summaries on the log', () => {
  it('keep the counts of a replaced instance and count them once', async () => {
    const timer = new ManualTimer();
    const log = new MemoryLog(timer);
    log.losesAnswers = true;
    const first = startInstance(timer, log, 1);
    first.recorder.recordResult(observation());
    await timer.advance(2 * MINUTE_MS);
    first.recorder.recordResult(missed);
    log.losesAnswers = false;
    await first.summarizer.stop();
    const read = await readSummaries(log, 0);
    const summaries = read._unsafeUnwrap();
    expect(summaries.length).toBeGreaterThan(2);
    expect(totalsOf(summaries, timer)).toEqual([2]);
    expect(totalsOf(summaries, timer, 'a/1')).toEqual([]);
  });

  it('show a log outage as a gap if the instance ended during it', async () => {
    const timer = new ManualTimer();
    const log = new MemoryLog(timer);
    const first = startInstance(timer, log, 1);
    await timer.advance(MINUTE_MS);
    log.down = true;
    first.recorder.recordResult(observation());
    await timer.advance(HOUR_MS);
    log.down = false;
    const {summarizer} = startInstance(timer, log, 2);
    await summarizer.stop();
    const summaries = (await readSummaries(log, 0))._unsafeUnwrap();
    const {gaps} = contributionsFromSummaries(
      summaries,
      new Set(),
      new Set(),
      timer.wallNow(),
    );
    expect(gaps).toMatchInlineSnapshot(`
      [
        {
          "from": 1767225660000,
          "incarnation": 1,
          "instance": "a",
          "reason": "ended_abruptly",
          "to": 1767229260000,
        },
      ]
    `);
  });

  it('are all written after a log outage if the instance kept running', async () => {
    const timer = new ManualTimer();
    const log = new MemoryLog(timer);
    const {recorder, summarizer} = startInstance(timer, log, 1);
    log.down = true;
    for (let minute = 0; minute < 30; minute++) {
      recorder.recordResult(observation());
      await timer.advance(MINUTE_MS);
    }
    log.down = false;
    await timer.advance(MINUTE_MS);
    expect(summarizer.backlog()).toEqual({unsent: 0, dropped: 0});
    const summaries = (await readSummaries(log, 0))._unsafeUnwrap();
    expect(totalsOf(summaries, timer)).toEqual([30]);
  });

  it('are read only from the given time on', async () => {
    const timer = new ManualTimer();
    const log = new MemoryLog(timer);
    startInstance(timer, log, 1);
    await timer.advance(20 * MINUTE_MS);
    const since = timer.wallNow() - 5 * MINUTE_MS;
    const summaries = (await readSummaries(log, since))._unsafeUnwrap();
    expect(summaries.map(({sequence}) => sequence)).toEqual([
      15, 16, 17, 18, 19, 20,
    ]);
  });
});

describe('the burn report', () => {
  const reportOf = (recorder: MeteredRecorder, timer: ManualTimer) =>
    burnReport({
      askedInstance: 'a',
      at: timer.wallNow(),
      configuration: undefined,
      contributions: [
        {
          instance: 'a',
          incarnation: 1,
          source: Source.Live,
          account: recorder.historySnapshot(),
        },
      ],
      silent: [],
      gaps: [],
      log: {type: 'read', summaries: 0},
    });

  it('counts each window from the requests that ended in it', async () => {
    const timer = new ManualTimer();
    const recorder = new MeteredRecorder(timer);
    for (const minutes of [0, 300, 325, 356]) {
      await timer.advance(minutes * MINUTE_MS - timer.now());
      recorder.recordResult(observation());
    }
    await timer.advance(2 * MINUTE_MS);
    const [row] = reportOf(recorder, timer).classes;
    expect(row?.burns.map(({total}) => total)).toEqual([1, 1, 3, 4]);
    await timer.advance(HOUR_MS);
    const [later] = reportOf(recorder, timer).classes;
    expect(later?.burns.map(({total}) => total)).toEqual([0, 0, 0, 3]);
  });

  it('counts an instance once that raised its incarnation', async () => {
    const timer = new ManualTimer();
    const log = new MemoryLog(timer);
    const incarnation = timer.wallNow();
    const {recorder} = startInstance(timer, log, incarnation);
    recorder.recordResult(observation());
    await timer.advance(2 * MINUTE_MS);
    const member = {name: 'a', incarnation: incarnation + 1, state: 'alive'};
    const reporter = new Reporter({
      author: {instance: 'a', incarnation},
      recorder,
      log,
      timer,
      membership: {
        self: () => member,
        live: () => [member],
        all: () => [member],
      },
      follower: {current: () => undefined},
      peerServer: {handle: () => undefined},
    } as unknown as ReporterParts);
    const {classes, sources, gaps} = await reporter.burn();
    expect(classes.map(({total}) => total)).toEqual([1]);
    expect(sources.map(({source}) => source)).toEqual([Source.Live]);
    expect(gaps).toEqual([]);
    // Its successor, of which nothing was heard, is a gap of its own.
    member.incarnation = timer.wallNow() + 1;
    expect((await reporter.burn()).gaps).toHaveLength(1);
  });

  it('alerts only if both the long and the short window exceed the threshold', () => {
    const burns = (...rates: number[]) =>
      [5, 30, 60, 360].map((minutes, index) => ({
        windowMs: minutes * MINUTE_MS,
        total: 100,
        rate: rates[index] ?? 0,
      }));
    const severities = (...rates: number[]) =>
      alertsOf(burns(...rates)).map(({severity}) => severity);
    expect(severities(20, 3, 20, 3)).toEqual(['page']);
    expect(severities(1, 3, 20, 3)).toEqual([]);
    expect(severities(1, 7, 8, 7)).toEqual(['ticket']);
    expect(severities(20, 20, 20, 20)).toEqual(['page', 'ticket']);
  });
});

describe('latencies', () => {
  it('merge as histograms and match exact values within their precision', () => {
    const random = xoroshiro128plus(7);
    const times: number[] = [];
    const merged = new ClassLatency();
    for (let instance = 0; instance < 9; instance++) {
      const own = new ClassLatency();
      for (let n = 0; n < 300; n++) {
        const completionMs =
          (uniformInt(random, 1, 5_000) * (instance + 1)) / 3;
        own.record({completionMs});
        times.push(completionMs);
      }
      merged.mergeEncoded(own.encode('chat'));
    }
    times.sort((a, b) => a - b);
    const {count, p50, p99, max} = merged.percentiles(LatencyKind.Completion);
    expect(count).toBe(times.length);
    const exact = [0.5, 0.99, 1].map(q => times[Math.ceil(q * 2_700) - 1] ?? 0);
    [p50, p99, max].forEach((value, index) => {
      const expected = exact[index] ?? 0;
      expect(Math.abs(value - expected)).toBeLessThanOrEqual(
        expected * LATENCY_RELATIVE_ERROR,
      );
    });
  });
});

describe('traces', () => {
  it('stay within the size limits, keep the first and last entry, drop the oldest', () => {
    const store = new TraceStore(3 * TRACE_LIMIT_BYTES);
    const arrived = {
      type: 'arrived',
      class: 'c',
      tier: 0,
      workspace: 'w',
    } as const;
    for (let n = 0; n < 50; n++) {
      store.append(`r${n}`, n, arrived);
      for (let m = 0; m < 100; m++) {
        store.append(`r${n}`, n, {type: 'queued', ahead: m, depth: m});
      }
      const ended = {type: 'ended', outcome: 'completed', ms: 1} as const;
      store.append(`r${n}`, n, ended);
    }
    expect(store.usedBytes).toBeLessThanOrEqual(3 * TRACE_LIMIT_BYTES);
    expect(store.find('r0')).toBeUndefined();
    const trace = store.find('r49');
    expect(trace?.entries[0]?.decision.type).toBe('arrived');
    expect(trace?.entries.at(-1)?.decision.type).toBe('ended');
    expect((trace?.entries.length ?? 0) + (trace?.dropped ?? 0)).toBe(102);
  });
});

describe('targets by time of day', () => {
  it('refer to the next such time after arrival', () => {
    const at = (hour: number) => Date.UTC(2026, 0, 1, hour);
    expect(nextTimeOfDay('05:30', at(2))).toBe(Date.UTC(2026, 0, 1, 5, 30));
    expect(nextTimeOfDay('05:30', at(22))).toBe(Date.UTC(2026, 0, 2, 5, 30));
  });
});
