import {Repetition, type Route} from '../route/index.js';
import type {ReceivedHead, Sink} from './attempt.js';
import {EventSplitter} from './events.js';
import type {Reply} from './reply.js';

/**
 * Delivers a stream to its caller. A resumable stream is delivered in complete
 * events, so that another upstream can continue after the last of them.
 */
export class StreamSink implements Sink {
  /** Id of the last event sent to the caller; undefined if there is none. */
  lastEvent?: string;
  private splitter?: EventSplitter;
  private onFirstBytes?: () => void;
  /** Whether bytes were sent that no event id covers. */
  private hasBytesWithoutId = false;

  constructor(
    private readonly reply: Reply,
    lastEvent: string | undefined,
    private readonly route: Route,
  ) {
    if (lastEvent !== undefined) this.lastEvent = lastEvent;
  }

  /** Whether another upstream can continue where the last one stopped. */
  get resumable(): boolean {
    return !this.hasBytesWithoutId;
  }

  get heldBytes(): number {
    return this.splitter?.pendingBytes ?? 0;
  }

  /** Prepares for an attempt; `onFirstBytes` is called at its first bytes. */
  beginAttempt(onFirstBytes: () => void): void {
    this.onFirstBytes = onFirstBytes;
    delete this.splitter;
  }

  start(head: ReceivedHead): boolean {
    const isResumable = this.route.repetition === Repetition.Resumable;
    if (head.isEventStream && isResumable) this.splitter = new EventSplitter();
    if (this.reply.callerGone) return false;
    if (!this.reply.headersSent) this.reply.start(head);
    return true;
  }

  data(chunk: Buffer, resume: () => void): boolean {
    this.onFirstBytes?.();
    delete this.onFirstBytes;
    if (this.splitter === undefined) {
      this.hasBytesWithoutId = true;
      return this.reply.write(chunk, resume);
    }
    const {bytes, events, lastEvent} = this.splitter.push(chunk);
    if (lastEvent !== undefined) this.lastEvent = lastEvent;
    else if (events > 0) this.hasBytesWithoutId = true;
    return this.reply.write(bytes, resume);
  }

  /** Sends the remaining bytes and ends the response. */
  finish(): void {
    const remainder = this.splitter?.remainder();
    if (remainder !== undefined) this.reply.write(remainder, () => undefined);
    this.reply.finish();
  }
}
