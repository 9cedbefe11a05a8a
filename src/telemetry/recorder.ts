import type {Timer} from '../timer/index.js';
import {Accumulator} from './accumulator.js';
import type {
  Decision,
  RequestResult,
  Recorder,
  WasteCause,
} from './decision.js';
import {History, type HistorySnapshot} from './history.js';
import {Totals} from './totals.js';
import {TraceStore, type Trace} from './trace.js';

const MINUTE_MS = 60_000;

/** Counts of the interval between two wall-clock times, in ms. */
export interface CountedInterval {
  from: number;
  to: number;
  counts: Accumulator;
}

/** Called with each interval when it ends. */
export type IntervalListener = (interval: CountedInterval) => void;

/**
 * Keeps traces of recent requests, and counts and latencies for [[HISTORY_MS]].
 * They are collected in intervals that end at each full minute or earlier.
 */
export class MeteredRecorder implements Recorder {
  /** Counts since the start of the process, for metrics. */
  readonly totals = new Totals();
  /** When counting started, in wall-clock ms. */
  readonly startedAt: number;
  private readonly traces = new TraceStore();
  private readonly history = new History();
  private readonly listeners = new Set<IntervalListener>();
  private counts = new Accumulator();
  private intervalStart: number;
  private intervalEnd: number;

  constructor(private readonly timer: Timer) {
    this.startedAt = timer.wallNow();
    this.intervalStart = this.startedAt;
    this.intervalEnd = endOfMinute(this.startedAt);
  }

  recordDecision(request: string, decision: Decision): void {
    this.traces.append(request, this.timer.wallNow(), decision);
  }

  recordResult(result: RequestResult): void {
    this.currentCounts().recordResult(result);
    this.totals.recordResult(result);
  }

  recordWastedTokens(
    cause: WasteCause,
    workClass: string,
    tokens: number,
  ): void {
    this.currentCounts().addWastedTokens(cause, workClass, tokens);
    this.totals.addWastedTokens(cause, workClass, tokens);
  }

  recordLinkBytes(
    link: string,
    cause: string,
    workspace: string,
    bytes: number,
  ): void {
    this.currentCounts().addLinkBytes({link, cause, workspace, bytes});
    this.totals.addLinkBytes(link, cause, bytes);
  }

  /** Calls `listener` with each interval when it ends. */
  subscribe(listener: IntervalListener): void {
    this.listeners.add(listener);
  }

  /** Ends the current interval now and calls the listeners with it. */
  endInterval(): void {
    this.endIntervalAt(this.timer.wallNow());
  }

  /** Returns the trace of a request, or undefined if it is not kept. */
  trace(request: string): Trace | undefined {
    return this.traces.find(request);
  }

  /** Size of the kept traces, in bytes and in requests. */
  traceUsage(): {bytes: number; requests: number} {
    return {bytes: this.traces.usedBytes, requests: this.traces.size};
  }

  /** Returns the counts and latencies of the last [[HISTORY_MS]]. */
  historySnapshot(): HistorySnapshot {
    const now = this.timer.wallNow();
    this.endIntervalAt(now);
    return this.history.snapshot(this.startedAt, now);
  }

  private currentCounts(): Accumulator {
    const now = this.timer.wallNow();
    if (now >= this.intervalEnd) this.endIntervalAt(now);
    return this.counts;
  }

  private endIntervalAt(now: number): void {
    const interval = {from: this.intervalStart, to: now, counts: this.counts};
    const endedAt = Math.min(now, this.intervalEnd);
    this.counts = new Accumulator();
    this.intervalStart = now;
    this.intervalEnd = endOfMinute(now);
    if (!interval.counts.isEmpty) this.history.add(interval.counts, endedAt);
    this.history.expire(now);
    for (const listener of this.listeners) listener(interval);
  }
}

function endOfMinute(time: number): number {
  return (Math.floor(time / MINUTE_MS) + 1) * MINUTE_MS;
}
