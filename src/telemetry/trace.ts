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
  private bytes = 0;

  constructor(
    private readonly limitBytes = TRACE_STORE_LIMIT_BYTES,
    private readonly traceLimitBytes = TRACE_LIMIT_BYTES,
  ) {}

  /** Appends a decision to the trace of a request. */
  append(request: string, at: number, decision: Decision): void {
    const text = JSON.stringify({at, decision});
    const trace = this.open(request);
    const full = trace.bytes + text.length > this.traceLimitBytes;
    if (full && decision.type !== 'ended') {
      trace.dropped++;
      return;
    }
    trace.entries.push(text);
    this.grow(trace, text.length);
    if (full) this.trim(trace);
    this.evict();
  }

  /** Returns what is remembered of a request. */
  find(request: string): Trace | undefined {
    const trace = this.traces.get(request);
    if (trace === undefined) return undefined;
    const entries = trace.entries.map(text => JSON.parse(text) as TraceEntry);
    return {request, entries, dropped: trace.dropped};
  }

  /** Bytes in use, by the store's own estimate. */
  get usedBytes(): number {
    return this.bytes;
  }

  /** Requests remembered. */
  get size(): number {
    return this.traces.size;
  }

  private open(request: string): StoredTrace {
    const known = this.traces.get(request);
    if (known !== undefined) return known;
    const trace = {entries: [], bytes: TRACE_OVERHEAD_BYTES, dropped: 0};
    this.traces.set(request, trace);
    this.bytes += TRACE_OVERHEAD_BYTES;
    return trace;
  }

  private grow(trace: StoredTrace, bytes: number): void {
    trace.bytes += bytes;
    this.bytes += bytes;
  }

  /** Drops the entries before the last until the trace is within its bound. */
  private trim(trace: StoredTrace): void {
    while (trace.bytes > this.traceLimitBytes && trace.entries.length > 2) {
      const [removed = ''] = trace.entries.splice(-2, 1);
      this.grow(trace, -removed.length);
      trace.dropped++;
    }
  }

  private evict(): void {
    for (const [request, trace] of this.traces) {
      if (this.bytes <= this.limitBytes) return;
      this.traces.delete(request);
      this.bytes -= trace.bytes;
    }
  }
}
