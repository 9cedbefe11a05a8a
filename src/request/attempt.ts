import {createParser, type EventSourceMessage} from 'eventsource-parser';
import type {Timer} from '../timer/index.js';
import {AttemptEnd, type Placement} from './placement.js';
import type {Failure} from './outcome.js';
import type {Work} from './work.js';

/** Header by which engines and services are told the id of a request. */
export const UPSTREAM_ID_HEADER = 'x-request-id';
/** Header by which engines are told the priority of a request. */
export const PRIORITY_HEADER = 'x-priority';
/** Data of the event that ends a whole streamed answer. */
export const STREAM_END = '[DONE]';

/** Where an attempt delivers what the upstream answers. */
export interface AnswerSink {
  /** Called once, before anything else, when the answer starts. */
  head(status: number, contentType: string): void;
  /** Delivers one event of a stream; awaits the caller's back-pressure. */
  event(event: EventSourceMessage): Promise<void>;
  /** Delivers a whole answer that was not streamed. */
  whole(body: Buffer): void;
}

/** The result of one attempt. */
export type AttemptResult =
  | {type: 'whole'}
  /** The upstream proved that it did not and will not run the request. */
  | {type: 'refused'; failure: Failure}
  /** No byte of the request left this instance. */
  | {type: 'unsent'; failure: Failure}
  /** The attempt broke; `delivered` tells if the caller has seen any of it. */
  | {type: 'broken'; failure: Failure; delivered: boolean};

/** Status and header by which an upstream proves that it ran nothing. */
const NOT_RUN_HEADER = 'x-not-run';

/** Errors of `undici` that arise before a request is written. */
const UNSENT_CODES = new Set(['UND_ERR_CONNECT_TIMEOUT', 'ECONNREFUSED']);

/** Sums up what an attempt has seen so far. */
class Progress {
  sent = false;
  delivered = false;
}

/**
 * Runs one attempt of a request on its placement and delivers the answer.
 * Releases the placement in every case.
 */
export async function runAttempt(
  work: Work,
  placement: Placement,
  sink: AnswerSink,
  timer: Timer,
): Promise<AttemptResult> {
  const progress = new Progress();
  const watchdog = new Watchdog(timer, work, placement.signal);
  try {
    const result = await exchange(work, placement, sink, watchdog, progress);
    placement.release(endOf(result));
    return result;
  } catch (cause) {
    const silent = watchdog.expired;
    placement.release(endOfFailure(silent, placement.signal.aborted));
    if (isUnsent(cause)) {
      return {
        type: 'unsent',
        failure: {type: 'upstreamLost', cause: String(cause)},
      };
    }
    const failure: Failure = silent
      ? {type: 'upstreamSilent', limitMs: watchdog.limitMs}
      : placement.signal.aborted
        ? {type: 'cancelled'}
        : {type: 'upstreamLost', cause: String(cause)};
    return {type: 'broken', failure, delivered: progress.delivered};
  } finally {
    watchdog.end();
  }
}

function endOf(result: AttemptResult): AttemptEnd {
  switch (result.type) {
    case 'whole':
      return AttemptEnd.Whole;
    case 'refused':
    case 'unsent':
      return AttemptEnd.Refused;
    case 'broken':
      return AttemptEnd.Broken;
  }
}

function endOfFailure(silent: boolean, cancelled: boolean): AttemptEnd {
  if (silent) return AttemptEnd.Silent;
  return cancelled ? AttemptEnd.Cancelled : AttemptEnd.Broken;
}

function isUnsent(cause: unknown): boolean {
  if (!(cause instanceof Error) || !('code' in cause)) return false;
  return UNSENT_CODES.has(String(cause.code));
}

async function exchange(
  work: Work,
  placement: Placement,
  sink: AnswerSink,
  watchdog: Watchdog,
  progress: Progress,
): Promise<AttemptResult> {
  const response = await placement.upstream.connections.request({
    method: work.method,
    path: work.path,
    headers: {
      'content-type': work.contentType,
      [UPSTREAM_ID_HEADER]: work.id,
      [PRIORITY_HEADER]: String(placement.priority),
      ...(work.idempotencyKey === undefined
        ? {}
        : {'idempotency-key': work.idempotencyKey}),
    },
    body: work.body.length === 0 ? null : work.body,
    signal: watchdog.signal,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  watchdog.heard();
  const headers = response.headers;
  if (response.statusCode >= 400) {
    const body = await response.body.text();
    return judgeError(response.statusCode, headers[NOT_RUN_HEADER], body);
  }
  if (headers[UPSTREAM_ID_HEADER] !== work.id) {
    await response.body.dump();
    return {type: 'broken', failure: {type: 'wrongAnswer'}, delivered: false};
  }
  const contentType = String(headers['content-type'] ?? '');
  if (contentType.startsWith('text/event-stream')) {
    sink.head(response.statusCode, contentType);
    const ended = await relay(
      response.body,
      placement,
      sink,
      watchdog,
      progress,
    );
    if (ended) return {type: 'whole'};
    const failure: Failure = {type: 'upstreamLost', cause: 'no end of stream'};
    return {type: 'broken', failure, delivered: progress.delivered};
  }
  const whole = Buffer.from(await response.body.arrayBuffer());
  placement.firstToken();
  progress.delivered = true;
  sink.head(response.statusCode, contentType);
  sink.whole(whole);
  return {type: 'whole'};
}

function judgeError(
  status: number,
  notRun: string | string[] | undefined,
  body: string,
): AttemptResult {
  if (notRun === 'true' || (status < 500 && status !== 408)) {
    return {type: 'refused', failure: {type: 'upstreamRefused', status, body}};
  }
  return {
    type: 'broken',
    failure: {type: 'upstreamFailed', status},
    delivered: false,
  };
}

/** Relays events until the stream ends; tells if it ended properly. */
async function relay(
  body: AsyncIterable<Buffer>,
  placement: Placement,
  sink: AnswerSink,
  watchdog: Watchdog,
  progress: Progress,
): Promise<boolean> {
  const pending: EventSourceMessage[] = [];
  const decoder = new TextDecoder();
  const parser = createParser({onEvent: event => pending.push(event)});
  let ended = false;
  for await (const chunk of body) {
    watchdog.heard();
    parser.feed(decoder.decode(chunk, {stream: true}));
    for (const event of pending.splice(0)) {
      if (event.data === STREAM_END) ended = true;
      else if (!progress.delivered) placement.firstToken();
      progress.delivered = true;
      placement.progress(1);
      await sink.event(event);
    }
  }
  return ended;
}

/** Aborts an attempt whose upstream stays silent for longer than allowed. */
class Watchdog {
  expired = false;
  limitMs: number;
  private readonly controller = new AbortController();
  private last: number;
  private readonly tick;
  private readonly stop = () => this.controller.abort();

  constructor(
    timer: Timer,
    private readonly work: Work,
    private readonly outer: AbortSignal,
  ) {
    this.limitMs = work.serviceClass.firstByteMs;
    this.last = timer.now();
    this.tick = timer.every(this.limitMs / 8, () => {
      if (timer.now() - this.last < this.limitMs) return;
      this.expired = true;
      this.stop();
    });
    this.now = () => timer.now();
    if (outer.aborted) this.stop();
    outer.addEventListener('abort', this.stop, {once: true});
  }

  private readonly now: () => number;

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  heard(): void {
    this.last = this.now();
    this.limitMs = this.work.serviceClass.idleMs;
  }

  end(): void {
    this.tick.end();
    this.outer.removeEventListener('abort', this.stop);
  }
}
