import type {EventSourceMessage} from 'eventsource-parser';
import type {Client, Dispatcher} from 'undici';
import {type Recorder, WasteCause} from '../telemetry/index.js';
import type {Timer} from '../timer/index.js';
import {openProbedConnection} from './connection.js';
import {
  isUnsent,
  classifyErrorResponse,
  type AttemptResult,
} from './attemptresult.js';
import type {Failure} from './outcome.js';
import {AttemptEnd, type Placement} from './placement.js';
import {cancelStream, resumeStream} from './upstreamstream.js';
import {relayEvents, STREAM_END, StreamProgress} from './relay.js';
import type {AnswerSink} from './sink.js';
import {Watchdog, type SilenceLimits} from './watchdog.js';
import type {ParsedRequest} from './work.js';

/** Header by which engines and services are told the id of a request. */
export const X_REQUEST_ID = 'x-request-id';
/** Header by which engines are told the priority of a request. */
export const PRIORITY_HEADER = 'x-priority';

const RESUMES_LIMIT = 2;

/** What one attempt needs to know. */
export interface AttemptSpec {
  work: ParsedRequest;
  placement: Placement;
  sink: AnswerSink;
  timer: Timer;
  recorder: Recorder;
  /** Id the upstream is told and must repeat. */
  id: string;
  /** Stops the attempt. */
  signal: AbortSignal;
  /** Stops what comes before the request is sent, if not `signal`. */
  preDispatchSignal?: AbortSignal;
  /** Whether to use a new connection that was seen to work. */
  verifyConnection: boolean;
  /** Asked right before the request is sent; false withholds it. */
  mayDispatch?: () => boolean;
}

/**
 * Runs one attempt of a request on its placement and delivers the answer. A
 * stream that breaks is continued at the exact place while the upstream holds
 * it. Releases the placement in every case.
 */
export async function runAttempt(spec: AttemptSpec): Promise<AttemptResult> {
  const attempt = new Attempt(spec);
  const result = await attempt.run();
  spec.placement.release(attempt.endOf(result));
  return result;
}

class Attempt {
  private readonly stream = new StreamProgress();
  private delivered = false;
  private streaming = false;
  private resuming = false;
  /** Whether the silence was the connection's alone. */
  private connectionAtFault = false;

  constructor(private readonly spec: AttemptSpec) {}

  async run(): Promise<AttemptResult> {
    let result = await this.guarded(this.limits(), watchdog =>
      this.send(watchdog),
    );
    for (let turn = 0; turn < RESUMES_LIMIT && this.mayResume(result); turn++) {
      result = await this.resume(result);
    }
    if (result.type === 'broken') {
      this.connectionAtFault = await this.isConnectionAtFault(result.failure);
      this.abandon();
    }
    return result;
  }

  /** What the scheduler is told of the result. */
  endOf(result: AttemptResult): AttemptEnd {
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
   * Tells whether an upstream that was silent answers on a new connection. A
   * stream that stays silent after it was resumed is the upstream's fault.
   */
  private async isConnectionAtFault(failure: Failure): Promise<boolean> {
    if (failure.type !== 'upstreamSilent' || this.resuming) return false;
    const {placement, timer, signal} = this.spec;
    const client = await openProbedConnection(
      placement.upstream,
      timer,
      signal,
    );
    void client?.destroy();
    return client !== undefined;
  }

  private limits(): SilenceLimits {
    const {work, timer} = this.spec;
    const {firstByteMs, idleMs} = work.serviceClass;
    if (work.demand.type === 'generation' && !work.demand.stream) {
      const half = (work.deadlineAt - timer.now()) / 2;
      return {firstByteMs: Math.max(firstByteMs, half), idleMs};
    }
    return {firstByteMs, idleMs};
  }

  /** Runs an exchange under a watchdog and turns its failures into results. */
  private async guarded(
    limits: SilenceLimits,
    exchange: (watchdog: Watchdog) => Promise<AttemptResult>,
  ): Promise<AttemptResult> {
    const {timer, signal} = this.spec;
    const watchdog = new Watchdog(timer, limits, signal);
    try {
      return await exchange(watchdog);
    } catch (cause) {
      const lost: Failure = {type: 'upstreamLost', cause: String(cause)};
      const first = !this.resuming;
      if (first && isUnsent(cause)) return {type: 'unsent', failure: lost};
      const failure: Failure = watchdog.expired
        ? {type: 'upstreamSilent', limitMs: watchdog.limitMs}
        : signal.aborted
          ? {type: 'cancelled'}
          : lost;
      return this.broken(failure);
    } finally {
      watchdog.end();
    }
  }

  private broken(failure: Failure): AttemptResult {
    return {type: 'broken', failure, delivered: this.delivered};
  }

  private async send(watchdog: Watchdog): Promise<AttemptResult> {
    const {
      placement,
      verifyConnection: verified,
      timer,
      signal,
      preDispatchSignal: preparation = signal,
    } = this.spec;
    const {upstream} = placement;
    if (!verified) return this.dispatch(upstream.connections, watchdog);
    const client = await openProbedConnection(upstream, timer, preparation);
    if (client === undefined) {
      const failure: Failure = {
        type: 'upstreamLost',
        cause: 'no answer on a new connection',
      };
      return {type: 'unsent', failure};
    }
    watchdog.restart();
    return this.closing(client, () => this.dispatch(client, watchdog));
  }

  private async closing<Value>(
    client: Client,
    use: () => Promise<Value>,
  ): Promise<Value> {
    try {
      return await use();
    } finally {
      void client.destroy();
    }
  }

  private async dispatch(
    dispatcher: Dispatcher,
    watchdog: Watchdog,
  ): Promise<AttemptResult> {
    const {work, placement, id, mayDispatch: permit, signal} = this.spec;
    if (signal.aborted || permit?.() === false) {
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
    if (response.statusCode >= 400) return classifyErrorResponse(response);
    return this.receive(response, watchdog);
  }

  /** Delivers a successful answer after checking whose it is. */
  private async receive(
    {statusCode, headers, body}: Dispatcher.ResponseData,
    watchdog: Watchdog,
  ): Promise<AttemptResult> {
    const {sink, placement, id} = this.spec;
    if (headers[X_REQUEST_ID] !== id) {
      // A body that is destroyed early emits an error that nobody awaits.
      body.on('error', () => undefined).destroy();
      return this.broken({type: 'wrongAnswer'});
    }
    const contentType = String(headers['content-type'] ?? '');
    if (contentType.startsWith('text/event-stream')) {
      const source = {upstream: placement.upstream.name, stream: id};
      if (!this.streaming) sink.head(statusCode, contentType, source);
      this.streaming = true;
      return this.relay(body, watchdog);
    }
    const whole = Buffer.from(await body.arrayBuffer());
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
    const heard = () => watchdog.recordActivity();
    await relayEvents(body, this.stream, heard, event => this.deliver(event));
    if (this.stream.ended) return {type: 'whole'};
    return this.broken({type: 'upstreamLost', cause: 'no end of stream'});
  }

  private async deliver(event: EventSourceMessage): Promise<void> {
    const {placement, sink} = this.spec;
    if (!this.delivered && event.data !== STREAM_END) placement.firstToken();
    this.delivered = true;
    placement.progress(1);
    await sink.event(event);
  }

  private mayResume(result: AttemptResult): boolean {
    const {work, signal} = this.spec;
    if (result.type !== 'broken' || signal.aborted) return false;
    if (work.demand.type !== 'generation' || !work.demand.stream) return false;
    return this.stream.resumable && result.failure.type !== 'upstreamFailed';
  }

  /** Continues the stream on a new connection; keeps `former` if it can't. */
  private async resume(former: AttemptResult): Promise<AttemptResult> {
    const {placement, timer, signal, recorder, work} = this.spec;
    const client = await openProbedConnection(
      placement.upstream,
      timer,
      signal,
    );
    if (client === undefined) return former;
    this.resuming = true;
    const {firstByteMs, idleMs} = work.serviceClass;
    recorder.recordDecision(work.id, {
      type: 'resumed',
      upstream: placement.upstream.name,
      offset: this.stream.events,
    });
    return this.guarded({firstByteMs, idleMs}, watchdog =>
      this.closing(client, async () => {
        const response = await resumeStream(
          client,
          this.spec.id,
          this.stream.lastEventId,
          watchdog.signal,
        );
        if (response.statusCode < 400) return this.receive(response, watchdog);
        await response.body.dump();
        return this.lost(former);
      }),
    );
  }

  /** The upstream no longer holds the stream. */
  private lost(former: AttemptResult): AttemptResult {
    if (former.type !== 'broken') return former;
    return this.broken({type: 'streamLost'});
  }

  /** Stops what the upstream may still be doing for a broken attempt. */
  private abandon(): void {
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
    // A caller that means to resume has the engine hold the stream.
    if (signal.aborted && work.resumable) return;
    void cancelStream(placement.upstream, id, timer);
  }
}
