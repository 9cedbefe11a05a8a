import type {ServerResponse} from 'node:http';
import type {Batch} from './batch.js';
import type {EngineBehaviour} from './enginebehaviour.js';
import type {Sequence, SequenceSink} from './sequence.js';

const EXPIRY_CHECK_PERIOD_MS = 50;

/** Token counts of an answer in the format of the OpenAI API. */
export interface Usage {
  prompt_tokens: number;
  completion_tokens: number;
  total_tokens: number;
  prompt_tokens_details: {cached_tokens: number};
}

/** The token counts of a sequence so far. */
export function usageOf({execution}: Sequence): Usage {
  const {promptTokens, cachedTokens, tokens} = execution;
  return {
    prompt_tokens: promptTokens,
    completion_tokens: tokens,
    total_tokens: promptTokens + tokens,
    prompt_tokens_details: {cached_tokens: cachedTokens},
  };
}

/**
 * An answer streamed as server-sent events. If its connection closes, another
 * one can take over.
 */
export class Stream implements SequenceSink {
  private response?: ServerResponse;
  private readonly chunkPrefix: string;

  constructor(
    readonly sequence: Sequence,
    private readonly onDetach: (stream: Stream) => void,
  ) {
    const {id, model} = sequence.execution;
    this.chunkPrefix =
      `{"id":${JSON.stringify(id)},"object":"chat.completion.chunk",` +
      `"model":${JSON.stringify(model)},"choices":[{"index":0,"delta":`;
  }

  get attached(): boolean {
    return this.response !== undefined;
  }

  /** Sends the stream from token `from` on, and closes any other connection. */
  attach(response: ServerResponse, from: number): void {
    const previous = this.response;
    this.response = response;
    previous?.destroy();
    response.once('close', () => {
      if (this.response !== response) return;
      delete this.response;
      this.onDetach(this);
    });
    for (let index = from; index < this.sequence.execution.tokens; index++) {
      this.onToken(index);
    }
    if (this.sequence.complete) this.onEnd();
  }

  onToken(index: number): void {
    if (this.response === undefined) return;
    this.writeHead(this.response);
    const content = JSON.stringify(this.sequence.output[index] ?? '');
    this.response.write(
      `id: ${index}\ndata: ${this.chunkPrefix}{"content":${content}},` +
        '"finish_reason":null}]}\n\n',
    );
  }

  onEnd(): void {
    if (this.response === undefined) return;
    this.writeHead(this.response);
    const usage = JSON.stringify(usageOf(this.sequence));
    this.response.end(
      `data: ${this.chunkPrefix}{},"finish_reason":"stop"}],"usage":${usage}}` +
        '\n\ndata: [DONE]\n\n',
    );
  }

  /** Closes the connection before the stream is complete. */
  disconnect(): void {
    this.response?.destroy();
  }

  private writeHead(response: ServerResponse): void {
    if (response.headersSent) return;
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'x-request-id': this.sequence.execution.id,
    });
  }
}

/** A stream whose connection has closed. */
interface DetachedStream {
  stream: Stream;
  /** Monotonic ms. */
  expiresAt: number;
}

/**
 * The streams that can be resumed. A stream whose connection has closed, also
 * because the stream is complete, is kept for `resumeHoldMs`. If it has no
 * connection then, it is cancelled and removed.
 */
export class ResumableStreams {
  private readonly byId = new Map<string, Stream>();
  private detached: DetachedStream[] = [];
  private readonly expiryTimer: NodeJS.Timeout;

  constructor(
    private readonly behaviour: EngineBehaviour,
    private readonly batch: Batch,
  ) {
    this.expiryTimer = setInterval(
      () => this.cancelExpired(),
      EXPIRY_CHECK_PERIOD_MS,
    );
    this.expiryTimer.unref();
  }

  /** The stream of a request id, or undefined once it was removed. */
  find(id: string): Stream | undefined {
    return this.byId.get(id);
  }

  /** Streams the output of a sequence to a connection. */
  open(sequence: Sequence, response: ServerResponse): Stream {
    const stream = new Stream(sequence, stream => this.holdDetached(stream));
    this.byId.set(sequence.execution.id, stream);
    sequence.sink = stream;
    stream.attach(response, 0);
    return stream;
  }

  /** Cancels a stream; returns false if there is none of this id. */
  cancel(id: string): boolean {
    const stream = this.byId.get(id);
    if (stream === undefined) return false;
    this.byId.delete(id);
    this.batch.cancel(stream.sequence);
    stream.disconnect();
    return true;
  }

  /** Stops the removal of expired streams. */
  close(): void {
    clearInterval(this.expiryTimer);
  }

  private holdDetached(stream: Stream): void {
    const expiresAt = performance.now() + this.behaviour.resumeHoldMs;
    this.detached.push({stream, expiresAt});
  }

  private cancelExpired(): void {
    const now = performance.now();
    const firstUnexpired = this.detached.findIndex(
      ({expiresAt}) => expiresAt > now,
    );
    const expired = this.detached.splice(
      0,
      firstUnexpired === -1 ? Infinity : firstUnexpired,
    );
    for (const {stream} of expired) {
      if (stream.attached) continue;
      this.batch.cancel(stream.sequence);
      const {id} = stream.sequence.execution;
      if (this.byId.get(id) === stream) this.byId.delete(id);
    }
  }
}
