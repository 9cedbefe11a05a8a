import {Repetition, type Route} from '../route/index.js';
import type {Sink} from './attemptspec.js';
import type {ReceivedHead} from './attemptresult.js';
import {EventSplitter, type CompleteEvents} from './events.js';
import type {Reply} from './reply.js';

/** Told of the progress of one attempt's response. */
export interface SinkListener {
  /** Whether the response is passed to the caller as it arrives. */
  isCurrent(): boolean;
  /** Bytes of the body arrived. */
  onBytes(): void;
  /** Bytes that can be passed to the caller arrived; they follow at once. */
  onOutput(): void;
}

/** What a caller has of the stream that it takes up; empty for a new one. */
export interface StreamStart {
  lastEvent?: string | undefined;
  softwareVersion?: string | undefined;
}

/**
 * Delivers a stream to its caller. A resumable stream is delivered in complete
 * events, so that another upstream can continue after the last of them.
 */
export class StreamSink {
  /** Id of the last event sent to the caller; undefined if there is none. */
  lastEvent?: string;
  /** The attempt whose response was last passed on. */
  private delivering?: AttemptSink;
  /** Whether bytes were sent that no event id covers. */
  private hasBytesWithoutId = false;
  /** Whether the last events that were sent have no id. */
  endsWithoutId = false;

  /** Software version of the upstream that wrote the first bytes. */
  private writer?: () => string;
  private notedVersion?: string;

  constructor(
    private readonly reply: Reply,
    private readonly route: Route,
    /** What the caller already has of the stream. */
    private readonly start: StreamStart,
    /** Called with the software version that writes the stream. */
    private readonly note: (softwareVersion: string) => void,
  ) {
    if (start.lastEvent !== undefined) this.lastEvent = start.lastEvent;
  }

  /**
   * Software version of the upstream that wrote what the caller has; others can't
   * go on with it. Undefined if it has nothing, or any version wrote the same.
   */
  get softwareVersion(): string | undefined {
    return this.start.softwareVersion ?? this.writer?.();
  }

  /** Binds the stream to the upstream whose bytes are sent first. */
  bind(writer: () => string): void {
    if (this.writer !== undefined) return;
    this.writer = writer;
    this.noteWriter();
  }

  /** Tells which software version writes the stream, if that is news. */
  noteWriter(): void {
    const {softwareVersion} = this;
    if (this.writer === undefined || softwareVersion === undefined) return;
    if (softwareVersion === this.notedVersion) return;
    this.notedVersion = softwareVersion;
    this.note(softwareVersion);
  }

  /** Whether another upstream can continue where the last one stopped. */
  get resumable(): boolean {
    return !this.hasBytesWithoutId;
  }

  /**
   * Creates the sink of a new attempt. `softwareVersion` returns that of its
   * upstream as far as it is known.
   */
  forAttempt(
    softwareVersion: () => string,
    listener: SinkListener,
  ): AttemptSink {
    return new AttemptSink(this, softwareVersion, listener);
  }

  /** Whether the caller has received the head of a response. */
  get headersSent(): boolean {
    return this.reply.headersSent;
  }

  /** Whether the caller has left. */
  get callerGone(): boolean {
    return this.reply.callerGone;
  }

  /** Begins to pass on the response of an attempt. */
  begin(attempt: AttemptSink, head: ReceivedHead): void {
    this.delivering = attempt;
    if (!this.reply.headersSent) this.reply.start(head);
  }

  /** Whether a response is passed on in complete events. */
  splits({isEventStream}: ReceivedHead): boolean {
    return isEventStream && this.route.repetition === Repetition.Resumable;
  }

  /** Writes bytes that no event id covers. */
  writeUnsplit(chunk: Buffer, resume: () => void): boolean {
    this.hasBytesWithoutId = true;
    return this.reply.write(chunk, resume);
  }

  /** Writes complete events. */
  writeEvents(
    {bytes, events, lastEvent, endsWithoutId}: CompleteEvents,
    resume: () => void,
  ): boolean {
    if (events > 0) this.endsWithoutId = endsWithoutId;
    if (lastEvent !== undefined) this.lastEvent = lastEvent;
    else if (events > 0) this.hasBytesWithoutId = true;
    return this.reply.write(bytes, resume);
  }

  /** Sends the remaining bytes and ends the response. */
  finish(): void {
    const remainder = this.delivering?.remainder();
    if (remainder !== undefined) this.reply.write(remainder, () => undefined);
    this.reply.finish();
  }
}

/**
 * Passes the response of one attempt to the stream of its request. While the
 * attempt is not the current one, the head is held back.
 */
export class AttemptSink implements Sink {
  private head?: ReceivedHead;
  private hasBegun = false;
  private splitter?: EventSplitter;

  constructor(
    private readonly stream: StreamSink,
    private readonly softwareVersion: () => string,
    private readonly listener: SinkListener,
  ) {}

  accepts({isEventStream}: ReceivedHead): boolean {
    return isEventStream || !this.stream.headersSent;
  }

  start(head: ReceivedHead): boolean {
    this.head = head;
    if (this.stream.splits(head)) this.splitter = new EventSplitter();
    if (this.stream.callerGone || !this.mayContinue) return false;
    if (this.listener.isCurrent()) this.begin();
    return true;
  }

  /** Whether its upstream has the software version of what was sent. */
  private get mayContinue(): boolean {
    const {softwareVersion} = this.stream;
    if (softwareVersion === undefined) return true;
    return softwareVersion === this.softwareVersion();
  }

  /** Whether another upstream can go on after the last event that was sent. */
  get isResumable(): boolean {
    const {resumable, lastEvent, endsWithoutId} = this.stream;
    return resumable && lastEvent !== undefined && !endsWithoutId;
  }

  /** Passes on the head, if it has arrived. */
  begin(): void {
    if (this.hasBegun || this.head === undefined) return;
    this.hasBegun = true;
    this.stream.begin(this, this.head);
  }

  data(chunk: Buffer, resume: () => void): boolean {
    this.listener.onBytes();
    const complete = this.splitter?.push(chunk);
    if (complete?.bytes.length === 0) return true;
    this.listener.onOutput();
    this.stream.bind(this.softwareVersion);
    return complete === undefined
      ? this.stream.writeUnsplit(chunk, resume)
      : this.stream.writeEvents(complete, resume);
  }

  get heldBytes(): number {
    return this.splitter?.pendingBytes ?? 0;
  }

  /** Bytes after the last complete event, if the stream is split. */
  remainder(): Buffer | undefined {
    return this.splitter?.remainder();
  }
}
