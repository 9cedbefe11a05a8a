import type {Logger} from 'pino';
import {LogEvent} from '../telemetry/logevent.js';
import type {Timer} from '../timer/index.js';
import {
  AnswerLimit,
  type AnswerListener,
  type AnswerMeter,
} from './answerlimit.js';
import type {ForwardMetrics} from './metrics.js';

/** Why an answer was broken off here. */
export enum AnswerFault {
  /** It came in too many small chunks or events. */
  SmallParts = 'small_parts',
  LongFailure = 'long_failure',
  LongEvent = 'long_event',
  LongRefusal = 'long_refusal',
  LongReport = 'long_report',
  LongHead = 'long_head',
  /** Too many bytes outside of heads and bodies. */
  BarrenBytes = 'barren_bytes',
  /** Bytes that are no answer in the protocol. */
  Unreadable = 'unreadable',
}

/** Faults by the names of errors. */
const FAULTS = new Map([
  ['BarrenBytes', AnswerFault.BarrenBytes],
  ['HeadersOverflowError', AnswerFault.LongHead],
  ['HTTPParserError', AnswerFault.Unreadable],
]);

/** The fault for which an error ended an answer; undefined for other errors. */
export function faultOf({name}: Error): AnswerFault | undefined {
  return FAULTS.get(name);
}

/** What an answer is the answer to. */
export interface AnswerSource {
  upstream: string;
  /** The caller's request; absent if this instance asked. */
  request?: string;
}

/** What the answers of one upstream have brought lately. */
export interface UpstreamRead {
  upstream: string;
  chunks: number;
  bytes: number;
}

/** Dependencies of [[Answers]]. */
export interface AnswersParts {
  timer: Pick<Timer, 'now' | 'after'>;
  logger: Logger;
  metrics: Pick<ForwardMetrics, 'recordAnswerFault'>;
}

/** The answers of upstreams that this instance receives. */
export class Answers {
  private readonly limit: AnswerLimit;
  /** By upstream, since [[takeLargest]]. */
  private reads = new Map<string, UpstreamRead>();

  constructor(private readonly parts: AnswersParts) {
    this.limit = new AnswerLimit(parts.timer);
  }

  /** Begins to count an answer. */
  open(listener: AnswerListener): AnswerMeter {
    return this.limit.open(listener);
  }

  /** Counts what was read of an upstream's answer at once. */
  noteRead(upstream: string, chunks: number, bytes: number): void {
    const read = this.reads.get(upstream);
    if (read === undefined) {
      this.reads.set(upstream, {upstream, chunks, bytes});
      return;
    }
    read.chunks += chunks;
    read.bytes += bytes;
  }

  /**
   * The upstream whose answers brought most chunks, and of those with the same
   * number most bytes, since the last call.
   */
  takeLargest(): UpstreamRead | undefined {
    const [largest] = [...this.reads.values()].sort(
      (a, b) => b.chunks - a.chunks || b.bytes - a.bytes,
    );
    this.reads = new Map();
    return largest;
  }

  /** Tells of an answer that was broken off here. */
  recordFault(
    fault: AnswerFault,
    {upstream, request}: AnswerSource,
    {chunks, events, bytes}: Pick<AnswerMeter, 'chunks' | 'events' | 'bytes'>,
  ): void {
    const ofRequest = request !== undefined;
    this.parts.metrics.recordAnswerFault(fault, ofRequest);
    this.parts.logger.warn(
      {
        event: LogEvent.AnswerFault,
        upstream,
        request,
        cause: fault,
        bytes,
        chunks,
        events,
      },
      'An answer of an upstream was broken off.',
    );
  }

  /** Gauges of /metrics, by name. */
  gauges(): Record<string, number> {
    return {answers_waiting: this.limit.waitingCount};
  }
}
