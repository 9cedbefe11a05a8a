import type {IncomingMessage} from 'node:http';
import type {ByteBudget, ByteHold} from './bytebudget.js';
import {ByteCollector} from './bytes.js';
import type {ChunkCount, ChunkLimit} from './chunklimit.js';
import {StopCause, type Deadline} from './deadline.js';
import {NO_MEMORY, SMALL_CHUNKS, type Refusal} from './refusal.js';

/** What bounds the body of a request. */
export interface BodyBounds {
  /** Longest body that the configuration allows, in bytes; if it is known. */
  limitBytes: number | undefined;
  budget: ByteBudget;
  chunks: ChunkLimit;
}

/** A whole body. */
interface ReceivedBody {
  type: 'received';
  bytes: Buffer;
}

const EMPTY: ReceivedBody = {type: 'received', bytes: Buffer.alloc(0)};

/**
 * Reads the body of a request, from the moment on at which its head was read:
 * in Node.js, each chunk that waits to be read is an object.
 */
export class BodyReader {
  private readonly limitBytes: number;
  private readonly collector: ByteCollector;
  private readonly hold: ByteHold;
  private readonly chunks: ChunkCount;
  private result?: ReceivedBody | Refusal;
  private onResult?: (result: ReceivedBody | Refusal) => void;

  constructor(
    private readonly message: IncomingMessage,
    {limitBytes, budget, chunks}: BodyBounds,
  ) {
    this.limitBytes = limitBytes ?? 0;
    this.collector = new ByteCollector(budget.blocks);
    this.hold = budget.open(() => this.fail(NO_MEMORY));
    this.chunks = chunks.open();
    const {headers} = message;
    const announcedBytes = Number(headers['content-length'] ?? 0);
    if (headers['transfer-encoding'] === undefined && announcedBytes === 0) {
      this.result = EMPTY;
    } else if (limitBytes === undefined) {
      this.result = {type: 'notReady'};
    } else if (announcedBytes > limitBytes) {
      this.result = {type: 'bodyTooLarge', limitBytes};
    } else {
      message.on('data', this.onData);
      message.once('end', this.onEnd);
      message.once('error', this.onBreak);
      message.once('close', this.onBreak);
    }
  }

  /**
   * Resolves to the whole body, or to a refusal once it can't be received or the
   * request is stopped.
   */
  receive(deadline: Deadline): Promise<ReceivedBody | Refusal> {
    if (this.result !== undefined) return Promise.resolve(this.result);
    const {signal} = deadline;
    return new Promise(resolve => {
      const stop = () => {
        const isEnding = deadline.cause === StopCause.Stopped;
        this.fail({type: isEnding ? 'leaving' : 'incomplete'});
      };
      this.onResult = result => {
        signal.removeEventListener('abort', stop);
        resolve(result);
      };
      if (signal.aborted) stop();
      else signal.addEventListener('abort', stop, {once: true});
    });
  }

  /** Ends the reading; the memory of the body is free again. */
  release(): void {
    this.fail({type: 'incomplete'});
    this.hold.release();
  }

  private readonly onData = (chunk: Buffer) => {
    const {collector, hold, limitBytes} = this;
    if (!this.chunks.add(chunk.length)) {
      this.fail(SMALL_CHUNKS);
    } else if (collector.length + chunk.length > limitBytes) {
      this.fail({type: 'bodyTooLarge', limitBytes});
    } else if (hold.take(collector.growthFor(chunk.length))) {
      collector.push(chunk);
    } else this.fail(NO_MEMORY);
  };

  private readonly onEnd = () => {
    this.hold.settle();
    this.finish({type: 'received', bytes: this.collector.take()});
  };

  private readonly onBreak = () => this.fail({type: 'incomplete'});

  private fail(refusal: Refusal): void {
    if (this.result !== undefined) return;
    const {message} = this;
    this.collector.discard();
    this.hold.release();
    if (this.chunks.isSmall) {
      // While the message is paused, each chunk that was read would be kept.
      message.on('data', () => undefined);
      message.socket.destroy();
    } else message.pause();
    this.finish(refusal);
  }

  private finish(result: ReceivedBody | Refusal): void {
    const {message} = this;
    this.chunks.end();
    message.off('data', this.onData);
    message.off('end', this.onEnd);
    message.off('error', this.onBreak);
    message.off('close', this.onBreak);
    // Without a listener, an error would end the process.
    message.on('error', () => undefined);
    this.result = result;
    this.onResult?.(result);
  }
}

/** Size of raw headers, names and values, in bytes. */
export function bytesOf(headers: readonly string[]): number {
  return headers.reduce((sum, {length}) => sum + length, 0);
}
