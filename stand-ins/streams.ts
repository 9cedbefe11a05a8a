import type {ServerResponse} from 'node:http';
import type {Batch} from './batch.js';
import type {EngineBehaviour} from './enginebehaviour.js';
import type {Sequence, SequenceSink} from './sequence.js';

const EXPIRY_CHECK_PERIOD_MS = 50;

/** Token counts of an answer, as OpenAI-compatible APIs report them. */
export interface Usage {
  prompt_tokens: number;
  completion_tokens: number;
  total_tokens: number;
  prompt_tokens_details: {cached_tokens: number};
}

/** The usage of a sequence so far. */
export function usageOf({execution}: Sequence): Usage {
  const {promptTokens, cachedTokens, tokens} = execution;
  return {
    prompt_tokens: promptTokens,
    completion_tokens: tokens,
    total_tokens: promptTokens + tokens,
    prompt_tokens_details: {cached_tokens: cachedTokens},
  };
}

/** One streamed answer, whose connection may break and be replaced. */
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

  /** Sends the stream from token `from` on to a connection. */
  attach(response: ServerResponse, from: number): void {
    const former = this.response;
    this.response = response;
    former?.destroy();
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

  /** Ends the connection without the end of the stream. */
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

interface DetachedStream {
  stream: Stream;
  expiresAt: number;
}

/**
 * Every stream that can be resumed. A stream that loses its connection, and
 * one that has ended, is kept for the holding time; then a stream that still
 * has no connection is cancelled.
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

  find(id: string): Stream | undefined {
    return this.byId.get(id);
  }

  open(sequence: Sequence, response: ServerResponse): Stream {
    const stream = new Stream(sequence, stream => this.holdDetached(stream));
    this.byId.set(sequence.execution.id, stream);
    sequence.sink = stream;
    stream.attach(response, 0);
    return stream;
  }

  /** Ends a stream at once; false when there is none. */
  cancel(id: string): boolean {
    const stream = this.byId.get(id);
    if (stream === undefined) return false;
    this.byId.delete(id);
    this.batch.cancel(stream.sequence);
    stream.disconnect();
    return true;
  }

  close(): void {
    clearInterval(this.expiryTimer);
  }

  private holdDetached(stream: Stream): void {
    const until = performance.now() + this.behaviour.resumeHoldMs;
    this.detached.push({stream, expiresAt: until});
  }

  private cancelExpired(): void {
    const now = performance.now();
    const over = this.detached.findIndex(({expiresAt: until}) => until > now);
    const expired = this.detached.splice(0, over === -1 ? Infinity : over);
    for (const {stream} of expired) {
      if (stream.attached) continue;
      this.batch.cancel(stream.sequence);
      const {id} = stream.sequence.execution;
      if (this.byId.get(id) === stream) this.byId.delete(id);
    }
  }
}
