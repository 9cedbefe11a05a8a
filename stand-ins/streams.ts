import type {ServerResponse} from 'node:http';
import type {Batch} from './batch.js';
import type {EngineBehaviour} from './enginebehaviour.js';
import type {Sequence, SequenceSink} from './sequence.js';

const SWEEP_PERIOD_MS = 50;

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
  private readonly prefix: string;

  constructor(
    readonly sequence: Sequence,
    private readonly onDetach: (stream: Stream) => void,
  ) {
    const {id, model} = sequence.execution;
    this.prefix =
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
      this.token(index);
    }
    if (this.sequence.whole) this.end();
  }

  token(index: number): void {
    if (this.response === undefined) return;
    this.open(this.response);
    const content = JSON.stringify(this.sequence.tokens[index] ?? '');
    this.response.write(
      `id: ${index}\ndata: ${this.prefix}{"content":${content}},` +
        '"finish_reason":null}]}\n\n',
    );
  }

  end(): void {
    if (this.response === undefined) return;
    this.open(this.response);
    const usage = JSON.stringify(usageOf(this.sequence));
    this.response.end(
      `data: ${this.prefix}{},"finish_reason":"stop"}],"usage":${usage}}` +
        '\n\ndata: [DONE]\n\n',
    );
  }

  /** Ends the connection without the end of the stream. */
  break(): void {
    this.response?.destroy();
  }

  private open(response: ServerResponse): void {
    if (response.headersSent) return;
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'x-request-id': this.sequence.execution.id,
    });
  }
}

interface Held {
  stream: Stream;
  until: number;
}

/**
 * Every stream that can be resumed. A stream that loses its connection, and
 * one that has ended, is kept for the holding time; then a stream that still
 * has no connection is cancelled.
 */
export class Streams {
  private readonly byId = new Map<string, Stream>();
  private held: Held[] = [];
  private readonly sweeper: NodeJS.Timeout;

  constructor(
    private readonly behaviour: EngineBehaviour,
    private readonly batch: Batch,
  ) {
    this.sweeper = setInterval(() => this.sweep(), SWEEP_PERIOD_MS);
    this.sweeper.unref();
  }

  find(id: string): Stream | undefined {
    return this.byId.get(id);
  }

  open(sequence: Sequence, response: ServerResponse): Stream {
    const stream = new Stream(sequence, stream => this.hold(stream));
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
    stream.break();
    return true;
  }

  close(): void {
    clearInterval(this.sweeper);
  }

  private hold(stream: Stream): void {
    const until = performance.now() + this.behaviour.resumeHoldMs;
    this.held.push({stream, until});
  }

  private sweep(): void {
    const now = performance.now();
    const over = this.held.findIndex(({until}) => until > now);
    const expired = this.held.splice(0, over === -1 ? Infinity : over);
    for (const {stream} of expired) {
      if (stream.attached) continue;
      this.batch.cancel(stream.sequence);
      const {id} = stream.sequence.execution;
      if (this.byId.get(id) === stream) this.byId.delete(id);
    }
  }
}
