import type {Dispatcher} from 'undici';
import type {Subscription} from '../timer/index.js';
import {AnswerFlow} from './answerflow.js';
import {AnswerFault} from './answers.js';
import type {AttemptSpec} from './attemptspec.js';
import {ByteCollector} from './bytes.js';
import {ChunkJoiner} from './chunkjoiner.js';
import type {Connection} from './connections.js';
import {
  AnswerProgress,
  BreakCause,
  type AttemptResult,
  type ReceivedHead,
} from './attemptresult.js';
import {EventScanner} from './events.js';
import {isFramed} from './framing.js';

/**
 * Bodies and events of resumable streams up to this size, in bytes, are buffered
 * until they are complete.
 */
const BUFFER_LIMIT_BYTES = 256 * 1024;
/** Longest body of a refusal after which its connection is kept, in bytes. */
const REFUSAL_BODY_LIMIT_BYTES = 64 * 1024;
/** Longest time in which the body of a refusal is received, in ms. */
const REFUSAL_BODY_TIMEOUT_MS = 500;

/** Sends a request to one upstream. Resolves on every end; never rejects. */
export function runAttempt(spec: AttemptSpec): Promise<AttemptResult> {
  return new Promise(resolve => new Attempt(spec, resolve).send());
}

class Attempt implements Dispatcher.DispatchHandler {
  private controller?: Dispatcher.DispatchController;
  private head?: ReceivedHead;
  /** Whether the head is that of a successful answer to the request. */
  private answered = false;
  private asksForPause = false;
  private deliveryStarted = false;
  private settled = false;
  /** Bounds the time of a refusal's body; present while it is received. */
  private refusalTimeout?: Subscription;
  private readonly buffered = new ByteCollector();
  /** Present if the response is a stream of events. */
  private events?: EventScanner;
  private readonly onAbort = () =>
    this.abort(`broken off: ${String(this.spec.signal.reason)}`);
  private readonly connection: Connection;
  private readonly flow: AnswerFlow;
  private readonly joiner = new ChunkJoiner(
    bytes => this.receive(bytes),
    cause => this.abort(String(cause)),
  );

  constructor(
    private readonly spec: AttemptSpec,
    private readonly resolve: (result: AttemptResult) => void,
  ) {
    const {endpoint, answers, timer, request} = spec;
    const connection = spec.connection ?? endpoint.connections.acquire();
    this.connection = connection;
    this.flow = new AnswerFlow({
      answers,
      timer,
      endpoint,
      connection,
      request: request.id,
      breakOff: () => this.breakOff(AnswerFault.SmallParts),
    });
  }

  send(): void {
    const {protocol, request, metadata, body, signal} = this.spec;
    if (signal.aborted) {
      this.settle({type: 'unsent', cause: 'broken off before it was sent'});
      return;
    }
    signal.addEventListener('abort', this.onAbort, {once: true});
    try {
      this.connection.dispatch(
        {
          method: request.method,
          path: request.target,
          headers: protocol.writeRequest(request, metadata),
          body: body.length === 0 ? null : body,
        },
        this,
      );
    } catch (cause) {
      this.settle({type: 'unsent', cause: String(cause)});
    }
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    const {endpoint, placedAt, timer} = this.spec;
    if (endpoint.pause.withholds(placedAt, timer.now())) {
      this.settle({type: 'withheld'});
    }
    if (this.settled) {
      controller.abort(new Interruption());
      return;
    }
    this.connection.reset = false;
    this.spec.sent?.();
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    this.connection.noteProgress();
    if (this.settled) return;
    const {protocol, request, endpoint, timer, sink} = this.spec;
    const now = timer.now();
    endpoint.noteHeard(this.connection.path, now);
    endpoint.connections.idleEnds.readAnnouncement(headers);
    const framed = isFramed(request.method, status, headers);
    const head = {...protocol.readResponse(status, headers), status, framed};
    this.head = head;
    this.asksForPause = this.spec.observe(head);
    if (head.request !== undefined && head.request !== request.id) {
      this.abort('answered another request');
      return;
    }
    // Without a request id, a response on a reused connection may belong to an
    // earlier request.
    if (head.request === undefined && this.connection.hasResponded) {
      this.abort('an answer that names no request on a kept connection');
      return;
    }
    if (head.notRun) {
      this.refuse(status);
      return;
    }
    if (status >= 300) return;
    if (!head.sealed || head.request === undefined || head.encoded) {
      this.abort('answer without the marks of its upstream');
      return;
    }
    if (!sink.accepts(head)) {
      this.abort('a stream is gone on with by no stream', BreakCause.Upstream);
      return;
    }
    this.answered = true;
    this.spec.received?.();
    if (!head.isEventStream) return;
    this.deliveryStarted = true;
    this.events = new EventScanner();
    if (!sink.start(head)) this.abort('the stream does not fit its caller');
    else if (controller.aborted) this.abort('broken off');
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    // The end of a connection may resume its parser, which passes on nothing.
    if (chunk.length === 0) return;
    if (this.settled && this.refusalTimeout === undefined) return;
    if (this.joiner.isEmpty) this.connection.noteProgress();
    this.joiner.push(chunk);
    this.flow.addChunk(controller, chunk.length);
  }

  /** Takes the bytes of one read. */
  private receive(bytes: Buffer): void {
    const {controller, buffered} = this;
    this.flow.noteRead(bytes.length);
    if (this.refusalTimeout !== undefined) {
      buffered.push(bytes);
      if (buffered.length > REFUSAL_BODY_LIMIT_BYTES) {
        this.breakOff(AnswerFault.LongRefusal);
      }
    }
    if (this.settled || controller === undefined) return;
    const {endpoint, timer} = this.spec;
    endpoint.noteHeard(this.connection.path, timer.now());
    if (!this.deliveryStarted) {
      if (this.answered) this.spec.received?.();
      buffered.push(bytes);
      if (buffered.length > BUFFER_LIMIT_BYTES) this.flush(controller);
      return;
    }
    this.deliver(controller, bytes);
  }

  onResponseEnd(): void {
    const {head} = this;
    this.connection.hasResponded = true;
    this.joiner.flush();
    // No more comes, so it need not wait for other answers.
    this.flow.end();
    this.endRefusal(true);
    if (head === undefined) {
      this.break('no answer', BreakCause.Upstream);
    } else if (!head.framed && this.connection.reset) {
      const cause = 'reset within an answer without length';
      this.break(cause, BreakCause.Upstream);
    } else if (!head.framed && this.connection.hasUnsentBytes) {
      const cause = 'ended without length before the request was sent';
      this.break(cause, BreakCause.Upstream);
    } else if (!head.framed && this.hasNoEvent) {
      this.break('ended before an event', BreakCause.Upstream);
    } else if (this.events?.insideEvent === true) {
      this.break('ended inside an event', BreakCause.Upstream);
    } else if (!head.framed && this.connection.mayBeResetLate) {
      void this.completeUnlessReset(head);
    } else this.complete(head);
  }

  onResponseError(
    _controller: Dispatcher.DispatchController | undefined,
    error: Error,
  ): void {
    const cause = `${error.name}: ${error.message}`;
    this.joiner.flush();
    this.flow.recordError(error);
    this.endRefusal(false);
    if (this.controller === undefined) this.settle({type: 'unsent', cause});
    else this.break(cause, BreakCause.Upstream);
  }

  private async completeUnlessReset(head: ReceivedHead): Promise<void> {
    this.spec.ended?.();
    const wasReset = await this.connection.awaitReset(this.spec.timer);
    if (wasReset) {
      this.break('reset after an answer without length', BreakCause.Upstream);
    } else this.complete(head);
  }

  private complete(head: ReceivedHead): void {
    if (this.deliveryStarted) {
      this.settle({type: 'delivered', head});
      return;
    }
    const {asksForPause} = this;
    const body = this.buffered.take();
    this.settle({type: 'whole', answer: {head, body}, asksForPause});
  }

  /** Starts streaming a body that exceeds the buffer limit. */
  private flush(controller: Dispatcher.DispatchController): void {
    const {head} = this;
    if (head === undefined) return;
    if (head.status >= 300) {
      this.breakOff(AnswerFault.LongFailure);
      return;
    }
    this.deliveryStarted = true;
    if (!this.spec.sink.start(head)) {
      this.abort('the answer does not fit its caller');
      return;
    }
    this.deliver(controller, this.buffered.take());
  }

  private deliver(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.scan(controller, chunk);
    const {sink} = this.spec;
    const wantsMore = sink.data(chunk, () => this.flow.callerReads());
    if (sink.heldBytes > BUFFER_LIMIT_BYTES) {
      this.breakOff(AnswerFault.LongEvent);
    } else if (!wantsMore) this.flow.waitForCaller(controller);
  }

  private scan(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    const {events} = this;
    if (events === undefined) return;
    const before = {events: events.events, lines: events.lines};
    events.scan(chunk);
    if (before.events === 0 && events.events > 0) this.spec.advanced?.();
    const lines = events.lines - before.lines;
    this.flow.addEvents(controller, events.events - before.events, lines);
  }

  /** Breaks off an answer for what its upstream has sent. */
  private breakOff(fault: AnswerFault): void {
    this.flow.recordFault(fault);
    if (this.refusalTimeout !== undefined) this.endRefusal(false);
    else this.abort(`broken off: ${fault}`, BreakCause.Upstream);
  }

  private abort(cause: string, endedBy = BreakCause.Abort): void {
    const {controller} = this;
    if (controller === undefined) this.settle({type: 'unsent', cause});
    else this.break(cause, endedBy);
    controller?.abort(new Interruption());
  }

  private break(cause: string, endedBy: BreakCause): void {
    const started = this.deliveryStarted;
    const progress = this.progress();
    this.settle({type: 'broken', cause, started, progress, endedBy});
  }

  /** Whether no event of a whole stream came, as if its process had ended. */
  private get hasNoEvent(): boolean {
    const {lastEvent} = this.spec.metadata;
    return this.events?.events === 0 && lastEvent === undefined;
  }

  private progress(): AnswerProgress {
    if (!this.answered) return AnswerProgress.None;
    return (this.events?.events ?? 0) > 0
      ? AnswerProgress.Advanced
      : AnswerProgress.Begun;
  }

  /**
   * Settles at the head of a refusal; its body only decides whether the
   * connection is used again.
   */
  private refuse(status: number): void {
    this.refusalTimeout = this.spec.timer.after(REFUSAL_BODY_TIMEOUT_MS, () =>
      this.endRefusal(false),
    );
    this.settle({type: 'refused', status});
  }

  private endRefusal(intact: boolean): void {
    const {refusalTimeout, controller} = this;
    if (refusalTimeout === undefined) return;
    refusalTimeout.end();
    this.flow.end();
    delete this.refusalTimeout;
    this.release(intact);
    if (!intact) controller?.abort(new Interruption());
  }

  private settle(result: AttemptResult): void {
    if (this.settled) return;
    this.settled = true;
    if (result.type !== 'refused') this.flow.end();
    this.spec.signal.removeEventListener('abort', this.onAbort);
    switch (result.type) {
      case 'whole':
      case 'delivered':
      case 'doubtful':
        this.release(true);
        break;
      case 'broken':
      case 'unsent':
      case 'withheld':
      case 'misplaced':
        this.release(false);
        break;
      case 'refused':
        // Released once its body has ended.
        break;
    }
    this.resolve(result);
  }

  private release(intact: boolean): void {
    this.spec.endpoint.connections.release(this.connection, intact);
  }
}

/** Passed to the HTTP client when an attempt is aborted. */
class Interruption extends Error {
  override name = 'Interruption';
}
