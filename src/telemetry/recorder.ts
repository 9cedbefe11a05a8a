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

/** Counts gathered between two wall-clock times in ms. */
export interface CountedInterval {
  from: number;
  to: number;
  counts: Accumulator;
}

/** A listener for slices of time as they end. */
export type IntervalListener = (slice: CountedInterval) => void;

/**
 * Keeps traces of recent requests and the counts and latencies of the last
 * hours. Counts are gathered in slices that end with each minute.
 */
export class MeteredRecorder implements Recorder {
  /** Counts since the start of the process, for metrics. */
  readonly totals = new Totals();
  /** Wall-clock ms at which counting began. */
  readonly startedAt: number;
  private readonly traces = new TraceStore();
  private readonly history = new History();
  private readonly listeners = new Set<IntervalListener>();
  private counts = new Accumulator();
  private sliceFrom: number;
  private sliceEnd: number;

  constructor(private readonly timer: Timer) {
    this.startedAt = timer.wallNow();
    this.sliceFrom = this.startedAt;
    this.sliceEnd = endOfMinute(this.startedAt);
  }

  recordDecision(request: string, decision: Decision): void {
    this.traces.append(request, this.timer.wallNow(), decision);
  }

  recordResult(observation: RequestResult): void {
    this.current().recordResult(observation);
    this.totals.recordResult(observation);
  }

  recordWastedTokens(
    cause: WasteCause,
    workClass: string,
    tokens: number,
  ): void {
    this.current().addWastedTokens(cause, workClass, tokens);
    this.totals.addWastedTokens(cause, workClass, tokens);
  }

  recordLinkBytes(
    link: string,
    cause: string,
    workspace: string,
    n: number,
  ): void {
    this.current().addLinkBytes({link, cause, workspace, bytes: n});
    this.totals.addLinkBytes(link, cause, n);
  }

  /** Subscribes to slices as they end. */
  subscribe(listener: IntervalListener): void {
    this.listeners.add(listener);
  }

  /** Ends the current slice now, and tells the listeners of it. */
  endInterval(): void {
    this.endSlice(this.timer.wallNow());
  }

  /** Returns what is remembered of a request. */
  trace(request: string): Trace | undefined {
    return this.traces.find(request);
  }

  /** Bytes and requests that the traces take up. */
  traceUsage(): {bytes: number; requests: number} {
    return {bytes: this.traces.usedBytes, requests: this.traces.size};
  }

  /** Returns the counts and latencies of the last hours, up to now. */
  historySnapshot(): HistorySnapshot {
    const now = this.timer.wallNow();
    this.endSlice(now);
    return this.history.snapshot(this.startedAt, now);
  }

  private current(): Accumulator {
    const now = this.timer.wallNow();
    if (now >= this.sliceEnd) this.endSlice(now);
    return this.counts;
  }

  private endSlice(now: number): void {
    const slice = {from: this.sliceFrom, to: now, counts: this.counts};
    const countedUntil = Math.min(now, this.sliceEnd);
    this.counts = new Accumulator();
    this.sliceFrom = now;
    this.sliceEnd = endOfMinute(now);
    if (!slice.counts.isEmpty) this.history.add(slice.counts, countedUntil);
    this.history.expire(now);
    for (const listener of this.listeners) listener(slice);
  }
}

function endOfMinute(time: number): number {
  return (Math.floor(time / MINUTE_MS) + 1) * MINUTE_MS;
}
