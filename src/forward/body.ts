import type {IncomingMessage} from 'node:http';
import type {ByteBudget, ByteHold} from './bytebudget.js';
import {ByteCollector} from './bytes.js';
import {StopCause, type Deadline} from './deadline.js';
import {NO_MEMORY, type Refusal} from './refusal.js';

/** A whole body; its memory counts until it is released. */
export interface ReceivedBody {
  type: 'received';
  bytes: Buffer;
  release(): void;
}

/** What bounds the body of a request. */
export interface BodyBounds {
  /** Longest body that the configuration allows, in bytes. */
  limitBytes: number;
  budget: ByteBudget;
  deadline: Deadline;
}

const EMPTY: ReceivedBody = {
  type: 'received',
  bytes: Buffer.alloc(0),
  release: () => undefined,
};

/**
 * Receives the body of a request, or gives up when the request is stopped. What
 * comes afterwards isn't read.
 */
export function receiveBody(
  message: IncomingMessage,
  bounds: BodyBounds,
): Promise<ReceivedBody | Refusal> {
  const {headers} = message;
  const announcedBytes = Number(headers['content-length'] ?? 0);
  if (headers['transfer-encoding'] === undefined && announcedBytes === 0) {
    return Promise.resolve(EMPTY);
  }
  const {limitBytes} = bounds;
  if (announcedBytes > limitBytes) {
    return Promise.resolve({type: 'bodyTooLarge', limitBytes});
  }
  return new Promise(resolve => new BodyReader(message, bounds, resolve));
}

/** Collects the chunks of a body. */
class BodyReader {
  private readonly collector: ByteCollector;
  private readonly hold: ByteHold;

  constructor(
    private readonly message: IncomingMessage,
    private readonly bounds: BodyBounds,
    private readonly resolve: (body: ReceivedBody | Refusal) => void,
  ) {
    const {budget, deadline} = bounds;
    this.collector = new ByteCollector(budget.blocks);
    this.hold = budget.open(() => this.fail(NO_MEMORY));
    message.on('data', this.onData);
    message.once('end', this.onEnd);
    message.once('error', this.onBreak);
    message.once('close', this.onBreak);
    const {signal} = deadline;
    if (signal.aborted) this.onStop();
    else signal.addEventListener('abort', this.onStop, {once: true});
  }

  private readonly onData = (chunk: Buffer) => {
    const {collector, hold, bounds} = this;
    const {limitBytes} = bounds;
    if (collector.length + chunk.length > limitBytes) {
      this.fail({type: 'bodyTooLarge', limitBytes});
    } else if (hold.take(collector.growthFor(chunk.length))) {
      collector.push(chunk);
    } else this.fail(NO_MEMORY);
  };

  private readonly onEnd = () => {
    this.hold.settle();
    this.finish({
      type: 'received',
      bytes: this.collector.take(),
      release: () => this.hold.release(),
    });
  };

  private readonly onBreak = () => this.fail({type: 'incomplete'});

  private readonly onStop = () => {
    const isEnding = this.bounds.deadline.cause === StopCause.Stopped;
    this.fail({type: isEnding ? 'leaving' : 'incomplete'});
  };

  private fail(refusal: Refusal): void {
    this.collector.discard();
    this.hold.release();
    this.message.pause();
    this.finish(refusal);
  }

  private finish(body: ReceivedBody | Refusal): void {
    const {message, bounds} = this;
    message.off('data', this.onData);
    message.off('end', this.onEnd);
    message.off('error', this.onBreak);
    message.off('close', this.onBreak);
    bounds.deadline.signal.removeEventListener('abort', this.onStop);
    // Without a listener, an error would end the process.
    message.on('error', () => undefined);
    this.resolve(body);
  }
}

/** Size of raw headers, names and values, in bytes. */
export function bytesOf(headers: readonly string[]): number {
  return headers.reduce((sum, {length}) => sum + length, 0);
}
