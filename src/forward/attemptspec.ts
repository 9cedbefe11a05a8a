import type {Timer} from '../timer/index.js';
import type {Answers} from './answers.js';
import type {ReceivedHead} from './attemptresult.js';
import type {Connection} from './connections.js';
import type {Endpoint} from './endpoint.js';
import type {RequestMetadata, Protocol, RequestHead} from './protocol.js';

/** Receives a response as it arrives. */
export interface Sink {
  /** Number of bytes that it keeps until their event is complete. */
  readonly heldBytes: number;
  /** Whether a successful response can begin, or go on, as the caller's. */
  accepts(head: ReceivedHead): boolean;
  /**
   * Takes the head of a successful response that is streamed to the caller.
   * Returning false aborts the attempt.
   */
  start(head: ReceivedHead): boolean;
  /** Takes bytes; false pauses the response until `resume` is called. */
  data(chunk: Buffer, resume: () => void): boolean;
}

/** Inputs of [[runAttempt]]. */
export interface AttemptSpec {
  endpoint: Endpoint;
  /** The connection to use; by default, one of the endpoint's. */
  connection?: Connection;
  /** When the upstream was chosen, in monotonic ms. */
  placedAt: number;
  protocol: Protocol;
  request: RequestHead;
  metadata: RequestMetadata;
  body: Buffer;
  sink: Sink;
  timer: Timer;
  answers: Answers;
  /** Aborts the attempt. */
  signal: AbortSignal;
  /** Called when the request is about to be written to its connection. */
  sent?(): void;
  /** Called at the head of an answer, and at bytes of it that are buffered. */
  received?(): void;
  /**
   * Called when an answer has ended whose connection may still be reset, before
   * that is awaited.
   */
  ended?(): void;
  /** Called when the first event of a stream is complete. */
  advanced?(): void;
  /**
   * Called with the head of the response; returns whether the upstream asks for
   * a pause in it.
   */
  observe(head: ReceivedHead): boolean;
}
