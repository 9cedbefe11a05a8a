import type {EventSourceMessage} from 'eventsource-parser';
import type {Dispatcher} from 'undici';
import {type Recorder, WasteCause} from '../telemetry/index.js';
import type {Timer} from '../timer/index.js';
import {openProbedConnection} from './connection.js';
import {
  isUnsent,
  classifyErrorResponse,
  NO_END,
  type AttemptResult,
} from './attemptresult.js';
import {isFramed, isJsonType, isWholeJson} from './framing.js';
import type {Failure} from './outcome.js';
import {AttemptEnd, type Placement} from './placement.js';
import {cancelStream, resumeStream} from './upstreamstream.js';
import {relayEvents, STREAM_END, StreamProgress} from './relay.js';
import type {AnswerSink} from './sink.js';
import {readBounded} from '../upstream/index.js';
import {Watchdog, type SilenceLimits} from './watchdog.js';
import type {ParsedRequest} from './work.js';

/** Header that carries the request id to an upstream and back in its answer. */
export const X_REQUEST_ID = 'x-request-id';
/** Header that tells an upstream the priority of a request; 0 is highest. */
export const PRIORITY_HEADER = 'x-priority';

/** Longest answer that is no stream, in bytes. */
const ANSWER_LIMIT_BYTES = 16 * 1024 * 1024;

/** How often one attempt resumes a broken stream at most. */
const RESUMES_LIMIT = 2;

/** The request, the placement and the dependencies of one attempt. */
export interface AttemptSpec {
  work: ParsedRequest;
  placement: Placement;
  sink: AnswerSink;
  timer: Timer;
  recorder: Recorder;
  /** Id sent to the upstream, which must return it in its response headers. */
  id: string;
  /** Aborts the attempt. */
  signal: AbortSignal;
  /** Aborts the connection probe before the dispatch; default `signal`. */
  preDispatchSignal?: AbortSignal;
  /** Whether to send on a new connection that has answered a probe. */
  verifyConnection: boolean;
  /** Called right before the dispatch; the request isn't sent if false. */
  mayDispatch?: () => boolean;
}

/**
 * Runs one attempt of a request on its placement and delivers the answer. A
 * broken stream is resumed after the last event received, as long as the
 * upstream still buffers it. Always releases the placement.
 */
export async function runAttempt(spec: AttemptSpec): Promise<AttemptResult> {
  const attempt = new Attempt(spec);
  const result = await attempt.run();
  spec.placement.release(attempt.attemptEndOf(result));
  return result;
}

class Attempt {
  private readonly stream = new StreamProgress();
  /** Whether any part of the answer was passed to the sink. */
  private delivered = false;
  private headSent = false;
  private resumed = false;
  /** Whether the upstream answered a probe after the connection went silent. */
  private connectionAtFault = false;

  constructor(private readonly spec: AttemptSpec) {}

  async run(): Promise<AttemptResult> {
    let result = await this.runWithWatchdog(this.silenceLimits(), watchdog =>
      this.send(watchdog),
    );
    for (
      let resumes = 0;
      resumes < RESUMES_LIMIT && this.canResume(result);
      resumes++
    ) {
      result = await this.resume(result);
    }
    if (result.type === 'broken') {
      this.connectionAtFault = await this.isConnectionAtFault(result.failure);
      this.cleanUp();
    }
    return result;
  }

  /** Returns how the attempt ended, as reported to the scheduler. */
  attemptEndOf(result: AttemptResult): AttemptEnd {
    switch (result.type) {
      case 'whole':
      case 'rejected':
        return AttemptEnd.Completed;
      case 'refused':
        return AttemptEnd.Refused;
      case 'unsent':
        return this.spec.signal.aborted
          ? AttemptEnd.Cancelled
          : AttemptEnd.Broken;
      case 'broken':
        if (this.spec.signal.aborted) return AttemptEnd.Cancelled;
        if (this.connectionAtFault) return AttemptEnd.Cancelled;
        return result.failure.type === 'upstreamSilent'
          ? AttemptEnd.Silent
          : AttemptEnd.Broken;
    }
  }

  /**
   * Checks whether an upstream that was silent answers on a new connection, so
   * that only the old connection was broken. A stream that was resumed on a new
   * connection and fell silent again is the upstream's fault.
   */
  private async isConnectionAtFault(failure: Failure): Promise<boolean> {
    if (failure.type !== 'upstreamSilent' || this.resumed) return false;
    const {placement, timer, signal} = this.spec;
    const client = await openProbedConnection(
      placement.upstream,
      timer,
      signal,
    );
    void client?.destroy();
    return client !== undefined;
  }

  /**
   * Returns the longest silences allowed. A generation that isn't streamed
   * sends its first byte only at the end, so it gets half of the remaining time
   * if that is longer.
   */
  private silenceLimits(): SilenceLimits {
    const {work, timer} = this.spec;
    const {firstByteMs, idleMs} = work.serviceClass;
    if (work.demand.type === 'generation' && !work.demand.stream) {
      const halfRemainingMs = (work.deadlineAt - timer.now()) / 2;
      return {firstByteMs: Math.max(firstByteMs, halfRemainingMs), idleMs};
    }
    return {firstByteMs, idleMs};
  }

  /** Runs an exchange under a watchdog and maps exceptions to results. */
  private async runWithWatchdog(
    limits: SilenceLimits,
    exchange: (watchdog: Watchdog) => Promise<AttemptResult>,
  ): Promise<AttemptResult> {
    const {timer, signal} = this.spec;
    const watchdog = new Watchdog(timer, limits, signal);
    try {
      return await exchange(watchdog);
    } catch (cause) {
      const lost: Failure = {
        type: 'upstreamLost',
        cause: String(cause),
      };
      const firstSend = !this.resumed;
      if (firstSend && isUnsent(cause)) return {type: 'unsent', failure: lost};
      const failure: Failure = watchdog.expired
        ? {type: 'upstreamSilent', limitMs: watchdog.limitMs}
        : signal.aborted
          ? {type: 'cancelled'}
          : lost;
      return this.brokenResult(failure);
    } finally {
      watchdog.end();
    }
  }

  private brokenResult(failure: Failure): AttemptResult {
    return {type: 'broken', failure, delivered: this.delivered};
  }

  private async send(watchdog: Watchdog): Promise<AttemptResult> {
    const {
      placement,
      verifyConnection,
      timer,
      signal,
      preDispatchSignal = signal,
    } = this.spec;
    const {upstream} = placement;
    if (!verifyConnection) return this.dispatch(upstream.connections, watchdog);
    const client = await openProbedConnection(
      upstream,
      timer,
      preDispatchSignal,
    );
    if (client === undefined) {
      const failure: Failure = {
        type: 'upstreamLost',
        cause: 'no answer on a new connection',
      };
      return {type: 'unsent', failure};
    }
    watchdog.restart();
    return this.useClient(client, () => this.dispatch(client, watchdog));
  }

  /** Runs an exchange on a dedicated connection and closes it afterwards. */
  private async useClient<Value>(
    client: Dispatcher,
    exchange: () => Promise<Value>,
  ): Promise<Value> {
    try {
      return await exchange();
    } finally {
      void client.destroy();
    }
  }

  private async dispatch(
    dispatcher: Dispatcher,
    watchdog: Watchdog,
  ): Promise<AttemptResult> {
    const {work, placement, id, mayDispatch, signal} = this.spec;
    if (signal.aborted || mayDispatch?.() === false) {
      return {type: 'unsent', failure: {type: 'deadlineExceeded'}};
    }
    const response = await dispatcher.request({
      method: work.method,
      path: work.path,
      headers: {
        'content-type': work.contentType,
        [X_REQUEST_ID]: id,
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
    watchdog.recordActivity();
    if (response.statusCode >= 400) {
      return classifyErrorResponse(response, work.method);
    }
    return this.receive(response, watchdog);
  }

  /** Checks that an answer belongs to this request, and delivers it. */
  private async receive(
    {statusCode, headers, body}: Dispatcher.ResponseData,
    watchdog: Watchdog,
  ): Promise<AttemptResult> {
    const {sink, placement, id, work} = this.spec;
    if (headers[X_REQUEST_ID] !== id) {
      // Destroying an unread body emits an error, which would be uncaught.
      body.on('error', () => undefined).destroy();
      return this.brokenResult({type: 'wrongAnswer'});
    }
    const contentType = String(headers['content-type'] ?? '');
    if (contentType.startsWith('text/event-stream')) {
      const source = {upstream: placement.upstream.name, stream: id};
      if (!this.headSent) sink.head(statusCode, contentType, source);
      this.headSent = true;
      return this.relay(body, watchdog);
    }
    const whole = await readBounded(body, ANSWER_LIMIT_BYTES);
    const showsEnd =
      isFramed(work.method, statusCode, headers) ||
      (isJsonType(contentType) && isWholeJson(whole));
    if (!showsEnd) {
      return this.brokenResult({type: 'upstreamLost', cause: NO_END});
    }
    placement.firstToken();
    this.delivered = true;
    sink.head(statusCode, contentType);
    sink.whole(whole);
    return {type: 'whole'};
  }

  private async relay(
    body: Dispatcher.ResponseData['body'],
    watchdog: Watchdog,
  ): Promise<AttemptResult> {
    const onBytes = () => watchdog.recordActivity();
    await relayEvents(body, this.stream, onBytes, event => this.deliver(event));
    if (this.stream.ended) return {type: 'whole'};
    return this.brokenResult({type: 'upstreamLost', cause: 'no end of stream'});
  }

  private async deliver(event: EventSourceMessage): Promise<void> {
    const {placement, sink} = this.spec;
    if (!this.delivered && event.data !== STREAM_END) placement.firstToken();
    this.delivered = true;
    placement.progress(1);
    await sink.event(event);
  }

  private canResume(result: AttemptResult): boolean {
    const {work, signal} = this.spec;
    if (result.type !== 'broken' || signal.aborted) return false;
    if (work.demand.type !== 'generation' || !work.demand.stream) return false;
    return this.stream.resumable && result.failure.type !== 'upstreamFailed';
  }

  /**
   * Resumes the stream on a new connection. Returns `previous` if the upstream
   * can't be reached.
   */
  private async resume(previous: AttemptResult): Promise<AttemptResult> {
    const {placement, timer, signal, recorder, work} = this.spec;
    const client = await openProbedConnection(
      placement.upstream,
      timer,
      signal,
    );
    if (client === undefined) return previous;
    this.resumed = true;
    const {firstByteMs, idleMs} = work.serviceClass;
    recorder.recordDecision(work.id, {
      type: 'resumed',
      upstream: placement.upstream.name,
      offset: this.stream.events,
    });
    return this.runWithWatchdog({firstByteMs, idleMs}, watchdog =>
      this.useClient(client, async () => {
        const response = await resumeStream(
          client,
          this.spec.id,
          this.stream.lastEventId,
          watchdog.signal,
        );
        if (response.statusCode < 400) return this.receive(response, watchdog);
        await response.body.dump();
        return this.streamLost(previous);
      }),
    );
  }

  /** Returns the result for a stream that the upstream no longer buffers. */
  private streamLost(previous: AttemptResult): AttemptResult {
    if (previous.type !== 'broken') return previous;
    return this.brokenResult({type: 'streamLost'});
  }

  /**
   * Counts the events of a broken attempt as waste, and cancels the stream that
   * the upstream may still be generating.
   */
  private cleanUp(): void {
    const {work, placement, id, timer, recorder, signal} = this.spec;
    if (this.stream.events > 0) {
      const cause = signal.aborted ? WasteCause.Abandoned : WasteCause.Broken;
      recorder.recordWastedTokens(
        cause,
        work.serviceClass.name,
        this.stream.events,
      );
    }
    if (!work.repeatable) return;
    if (work.demand.type !== 'generation' || !work.demand.stream) return;
    // The caller may still resume the stream, so the engine must keep it.
    if (signal.aborted && work.resumable) return;
    void cancelStream(placement.upstream, id, timer);
  }
}
