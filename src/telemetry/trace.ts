import type {Decision} from './decision.js';

/** Upper bound on the JSON kept for one request, in bytes. */
export const TRACE_LIMIT_BYTES = 4 * 1024;
/** Upper bound on the JSON kept for all requests, in bytes. */
export const TRACE_STORE_LIMIT_BYTES = 8 * 1024 * 1024;
/** Estimated bytes of a trace besides its entries: id, map entry and array. */
const TRACE_OVERHEAD_BYTES = 200;

/** A decision about a request and when it was taken. */
export interface TraceEntry {
  /** Time of the decision, in wall-clock ms. */
  at: number;
  decision: Decision;
}

/** The decisions that an instance has kept about one request. */
export interface Trace {
  request: string;
  entries: TraceEntry[];
  /** Entries dropped because the trace had reached [[TRACE_LIMIT_BYTES]]. */
  dropped: number;
}

/** A trace whose entries are kept as JSON, so that their size is known. */
interface StoredTrace {
  entries: string[];
  bytes: number;
  dropped: number;
}

/**
 * Keeps the decisions about recent requests in bounded memory. The oldest
 * request is evicted first. A trace that exceeds its limit loses entries in the
 * middle: the earliest entries and the end of the request are kept.
 */
export class TraceStore {
  private readonly traces = new Map<string, StoredTrace>();
  private totalBytes = 0;

  constructor(
    private readonly limitBytes = TRACE_STORE_LIMIT_BYTES,
    private readonly traceLimitBytes = TRACE_LIMIT_BYTES,
  ) {}

  /** Appends a decision to the trace of a request. */
  append(request: string, at: number, decision: Decision): void {
    const json = JSON.stringify({at, decision});
    const trace = this.getOrCreate(request);
    const isFull = trace.bytes + json.length > this.traceLimitBytes;
    if (isFull && decision.type !== 'ended') {
      trace.dropped++;
      return;
    }
    trace.entries.push(json);
    this.addBytes(trace, json.length);
    if (isFull) this.trimTrace(trace);
    this.evictOldest();
  }

  /** Returns the trace of a request, or undefined if it is not kept. */
  find(request: string): Trace | undefined {
    const trace = this.traces.get(request);
    if (trace === undefined) return undefined;
    const entries = trace.entries.map(json => JSON.parse(json) as TraceEntry);
    return {request, entries, dropped: trace.dropped};
  }

  /** Estimated size of all traces, in bytes. */
  get usedBytes(): number {
    return this.totalBytes;
  }

  /** Number of requests with a trace. */
  get size(): number {
    return this.traces.size;
  }

  private getOrCreate(request: string): StoredTrace {
    const existing = this.traces.get(request);
    if (existing !== undefined) return existing;
    const trace = {entries: [], bytes: TRACE_OVERHEAD_BYTES, dropped: 0};
    this.traces.set(request, trace);
    this.totalBytes += TRACE_OVERHEAD_BYTES;
    return trace;
  }

  private addBytes(trace: StoredTrace, bytes: number): void {
    trace.bytes += bytes;
    this.totalBytes += bytes;
  }

  /** Drops entries from before the last until the trace is within its limit. */
  private trimTrace(trace: StoredTrace): void {
    while (trace.bytes > this.traceLimitBytes && trace.entries.length > 2) {
      const [removed = ''] = trace.entries.splice(-2, 1);
      this.addBytes(trace, -removed.length);
      trace.dropped++;
    }
  }

  private evictOldest(): void {
    for (const [request, trace] of this.traces) {
      if (this.totalBytes <= this.limitBytes) return;
      this.traces.delete(request);
      this.totalBytes -= trace.bytes;
    }
  }
}
