import type {Dispatcher} from 'undici';
import type {Timer} from '../timer/index.js';
import type {Connection} from './connections.js';
import type {Endpoint} from './endpoint.js';
import type {
  ResponseHead,
  RequestMetadata,
  Protocol,
  RequestHead,
} from './protocol.js';

/** Bodies up to this size are delivered only once they are whole, in bytes. */
const WHOLE_LIMIT_BYTES = 256 * 1024;

/** The head of an upstream's answer. */
export interface ReceivedHead extends ResponseHead {
  status: number;
  /** Whether the answer has a length; otherwise it ends with its connection. */
  framed: boolean;
}

/** An answer that has arrived as a whole. */
export interface BufferedResponse {
  head: ReceivedHead;
  body: Buffer;
}

/** Receives an answer as it arrives. */
export interface Sink {
  /**
   * Takes the head of a successful answer that is delivered as it arrives.
   * False breaks the attempt off.
   */
  start(head: ReceivedHead): boolean;
  /** Takes bytes; false asks to be sent no more until `resume` is called. */
  data(chunk: Buffer, resume: () => void): boolean;
}

/** How an attempt ended. */
export type AttemptResult =
  /** Nothing of the request can have reached the upstream. */
  | {type: 'unsent'; cause: string}
  /** The upstream says that it did not run the request. */
  | {type: 'refused'; status: number}
  /** An answer that was not given to the sink. */
  | {type: 'whole'; answer: BufferedResponse}
  /** The sink has the whole answer. */
  | {type: 'delivered'; head: ReceivedHead}
  /** The request may have run. */
  | {type: 'broken'; cause: string; started: boolean};

/** What one attempt needs to know. */
export interface AttemptSpec {
  endpoint: Endpoint;
  protocol: Protocol;
  request: RequestHead;
  metadata: RequestMetadata;
  body: Buffer;
  sink: Sink;
  timer: Timer;
  /** Breaks the attempt off. */
  signal: AbortSignal;
}

/** Sends a request to one upstream and receives the answer. */
export function runAttempt(spec: AttemptSpec): Promise<AttemptResult> {
  return new Promise(resolve => new Attempt(spec, resolve).send());
}

class Attempt implements Dispatcher.DispatchHandler {
  private controller?: Dispatcher.DispatchController;
  private head?: ReceivedHead;
  private started = false;
  private ended = false;
  private readonly chunks: Buffer[] = [];
  private bytes = 0;
  private readonly stop = () => this.abort('broken off');
  private readonly connection: Connection;

  constructor(
    private readonly spec: AttemptSpec,
    private readonly resolve: (result: AttemptResult) => void,
  ) {
    this.connection = spec.endpoint.connections.acquire();
  }

  send(): void {
    const {protocol, request, metadata: envelope, body, signal} = this.spec;
    if (signal.aborted) {
      this.end({type: 'unsent', cause: 'broken off before it was sent'});
      return;
    }
    signal.addEventListener('abort', this.stop, {once: true});
    try {
      this.connection.dispatch(
        {
          method: request.method,
          path: request.target,
          headers: protocol.writeRequest(request, envelope),
          body: body.length === 0 ? null : body,
        },
        this,
      );
    } catch (cause) {
      this.end({type: 'unsent', cause: String(cause)});
    }
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.ended) controller.abort(new Interruption());
    else this.connection.reset = false;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    if (status < 200 || this.ended) return;
    const {protocol, request, endpoint, timer, sink} = this.spec;
    const now = timer.now();
    endpoint.lastHeardAt = now;
    const framed =
      headers['content-length'] !== undefined ||
      headers['transfer-encoding'] !== undefined;
    const head = {...protocol.readResponse(status, headers), status, framed};
    this.head = head;
    if (head.request !== undefined && head.request !== request.id) {
      this.abort('answered another request');
      return;
    }
    // It may be left over from an earlier request on the connection.
    if (head.request === undefined && this.connection.hasResponded) {
      this.abort('an answer that names no request on a kept connection');
      return;
    }
    if (head.notRun || status < 200 || status >= 300) return;
    if (!head.sealed || head.request === undefined || head.encoded) {
      this.abort('answer without the marks of its upstream');
      return;
    }
    if (!head.isEventStream) return;
    this.started = true;
    if (!sink.start(head)) this.abort('the stream does not fit its caller');
    else if (controller.aborted) this.abort('broken off');
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.ended) return;
    this.spec.endpoint.lastHeardAt = this.spec.timer.now();
    if (!this.started) {
      this.chunks.push(chunk);
      this.bytes += chunk.length;
      if (this.bytes > WHOLE_LIMIT_BYTES) this.pour(controller);
      return;
    }
    this.pass(controller, chunk);
  }

  onResponseEnd(): void {
    const {head} = this;
    this.connection.hasResponded = true;
    if (head === undefined) {
      this.end({type: 'broken', cause: 'no answer', started: false});
    } else if (!head.framed && this.connection.reset) {
      const cause = 'reset within an answer without length';
      this.end({type: 'broken', cause, started: this.started});
    } else if (head.notRun) {
      this.end({type: 'refused', status: head.status});
    } else if (this.started) {
      this.end({type: 'delivered', head});
    } else {
      const body = Buffer.concat(this.chunks);
      this.end({type: 'whole', answer: {head, body}});
    }
  }

  onResponseError(
    _controller: Dispatcher.DispatchController | undefined,
    error: Error,
  ): void {
    const cause = `${error.name}: ${error.message}`;
    if (this.controller === undefined) this.end({type: 'unsent', cause});
    else if (this.head?.notRun === true) {
      this.end({type: 'refused', status: this.head.status});
    } else this.end({type: 'broken', cause, started: this.started});
  }

  /** Delivers a large body as it arrives. */
  private pour(controller: Dispatcher.DispatchController): void {
    const {head} = this;
    if (head === undefined || head.status >= 300 || head.notRun) return;
    this.started = true;
    if (!this.spec.sink.start(head)) {
      this.abort('the answer does not fit its caller');
      return;
    }
    for (const chunk of this.chunks.splice(0)) this.pass(controller, chunk);
  }

  private pass(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    const more = this.spec.sink.data(chunk, () => controller.resume());
    if (!more) controller.pause();
  }

  private abort(cause: string): void {
    const {controller, started} = this;
    this.end(
      controller === undefined
        ? {type: 'unsent', cause}
        : {type: 'broken', cause, started},
    );
    controller?.abort(new Interruption());
  }

  private end(result: AttemptResult): void {
    if (this.ended) return;
    this.ended = true;
    this.spec.signal.removeEventListener('abort', this.stop);
    const isSound = result.type !== 'broken' && result.type !== 'unsent';
    this.spec.endpoint.connections.release(this.connection, isSound);
    this.resolve(result);
  }
}

/** The reason given to a connection that is closed in mid-answer. */
class Interruption extends Error {
  override name = 'Interruption';
}
