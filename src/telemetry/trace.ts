import type {Decision} from './decision.js';

/** Most bytes of JSON kept of one request. */
export const TRACE_LIMIT_BYTES = 4 * 1024;
/** Most bytes of JSON kept of all requests together. */
export const TRACE_STORE_LIMIT_BYTES = 8 * 1024 * 1024;
/** What a trace costs besides its entries: id, map entry and array. */
const TRACE_OVERHEAD_BYTES = 200;

/** One decision and when it was taken. */
export interface TraceEntry {
  /** Wall-clock ms. */
  at: number;
  decision: Decision;
}

/** What an instance remembers of one request. */
export interface Trace {
  request: string;
  entries: TraceEntry[];
  /** Entries dropped because the trace had reached [[TRACE_LIMIT_BYTES]]. */
  dropped: number;
}

/** Entries kept as JSON, so that their size is known. */
interface StoredTrace {
  entries: string[];
  bytes: number;
  dropped: number;
}

/**
 * Remembers the decisions about recent requests within fixed bounds. The
 * oldest request is forgotten first. A trace over its bound drops its middle:
 * the first decisions and the end of a request are always kept.
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

  /** Returns what is remembered of a request. */
  find(request: string): Trace | undefined {
    const trace = this.traces.get(request);
    if (trace === undefined) return undefined;
    const entries = trace.entries.map(json => JSON.parse(json) as TraceEntry);
    return {request, entries, dropped: trace.dropped};
  }

  /** Bytes in use, by the store's own estimate. */
  get usedBytes(): number {
    return this.totalBytes;
  }

  /** Requests remembered. */
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

  /** Drops the entries before the last until the trace is within its bound. */
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
