import {Repetition, type Route} from '../route/index.js';
import type {ReceivedHead, Sink} from './attempt.js';
import {EventSplitter} from './events.js';
import type {Reply} from './reply.js';

/**
 * Delivers a stream to its caller. A stream that can be resumed is delivered in
 * whole events, so that another upstream can go on after the last of them.
 */
export class StreamSink implements Sink {
  /** Id of the last event the caller has; undefined if there is none. */
  lastEvent?: string;
  private cutter?: EventSplitter;
  private started?: () => void;
  /** Whether bytes were delivered since which no event had an id. */
  private unmarked = false;

  constructor(
    private readonly reply: Reply,
    lastEvent: string | undefined,
    private readonly route: Route,
  ) {
    if (lastEvent !== undefined) this.lastEvent = lastEvent;
  }

  /** Whether another upstream can go on where the last one stopped. */
  get resumable(): boolean {
    return !this.unmarked;
  }

  /** Begins another attempt; `started` is called at its first bytes. */
  beginAttempt(started: () => void): void {
    this.started = started;
    delete this.cutter;
  }

  start(head: ReceivedHead): boolean {
    const isResumable = this.route.repetition === Repetition.Resumable;
    if (head.isEventStream && isResumable) this.cutter = new EventSplitter();
    if (this.reply.callerGone) return false;
    if (!this.reply.headersSent) this.reply.start(head);
    return true;
  }

  data(chunk: Buffer, resume: () => void): boolean {
    this.started?.();
    delete this.started;
    if (this.cutter === undefined) {
      this.unmarked = true;
      return this.reply.write(chunk, resume);
    }
    const {bytes, events, lastEvent} = this.cutter.push(chunk);
    if (lastEvent !== undefined) this.lastEvent = lastEvent;
    else if (events > 0) this.unmarked = true;
    return this.reply.write(bytes, resume);
  }

  /** Ends the answer after its last byte. */
  finish(): void {
    const rest = this.cutter?.remainder();
    if (rest !== undefined) this.reply.write(rest, () => undefined);
    this.reply.finish();
  }
}
