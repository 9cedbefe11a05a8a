import type {ServerResponse} from 'node:http';
import type {EventSourceMessage} from 'eventsource-parser';
import type {AnswerSink, StreamSource} from './sink.js';
import {
  describeFailure,
  Outcome,
  OUTCOME_EVENT,
  OUTCOME_HEADER,
  REQUEST_ID_HEADER,
  retryAfterMs,
  httpStatusOf,
  type Conclusion,
  type Failure,
} from './outcome.js';
import {formatEvent} from './recording.js';
import {RESUME_TOKEN_HEADER} from './resumption.js';

/** Writes the answer of one request to its caller. */
export class CallerAnswer implements AnswerSink {
  private streamed?: {status: number; contentType: string; token?: string};
  private body?: Buffer;
  private concluded = false;

  constructor(
    private readonly response: ServerResponse,
    private readonly id: string,
    /** Returns the resume token of a stream. */
    private readonly tokenOf?: (source: StreamSource) => string,
  ) {}

  head(status: number, contentType: string, source?: StreamSource): void {
    const token = source === undefined ? undefined : this.tokenOf?.(source);
    this.streamed ??= {
      status,
      contentType,
      ...(token === undefined ? {} : {token}),
    };
  }

  async event(event: EventSourceMessage): Promise<void> {
    if (this.concluded) return;
    this.open();
    await this.write(formatEvent(event));
  }

  whole(body: Buffer): void {
    this.body = body;
  }

  /** Ends the answer with its outcome; nothing is written after it. */
  conclude(conclusion: Conclusion): void {
    if (this.concluded) return;
    this.concluded = true;
    if (this.response.writableEnded || this.response.destroyed) return;
    const {outcome, failure} = conclusion;
    if (failure === undefined) this.complete();
    else if (this.response.headersSent) this.breakOff(outcome, failure);
    else writeFailure(this.response, this.id, outcome, failure);
  }

  private complete(): void {
    if (this.body === undefined) {
      this.open();
      this.response.end(this.finalEvent(Outcome.Completed));
      return;
    }
    const {status = 200, contentType = 'application/json'} =
      this.streamed ?? {};
    const isStream = contentType.startsWith('text/event-stream');
    const end = isStream ? this.finalEvent(Outcome.Completed) : '';
    this.response.writeHead(status, {
      'content-type': contentType,
      'content-length': this.body.length + Buffer.byteLength(end),
      [REQUEST_ID_HEADER]: this.id,
      [OUTCOME_HEADER]: Outcome.Completed,
    });
    this.response.write(this.body);
    this.response.end(end);
  }

  private breakOff(outcome: Outcome, failure: Failure): void {
    const error = JSON.stringify(errorBody(this.id, outcome, failure));
    this.response.end(`data: ${error}\n\n${this.finalEvent(outcome)}`);
  }

  private finalEvent(outcome: Outcome): string {
    const data = JSON.stringify({id: this.id, outcome});
    return `event: ${OUTCOME_EVENT}\ndata: ${data}\n\n`;
  }

  private open(): void {
    if (this.response.headersSent) return;
    this.response.writeHead(this.streamed?.status ?? 200, {
      'content-type': this.streamed?.contentType ?? 'text/event-stream',
      'cache-control': 'no-store',
      [REQUEST_ID_HEADER]: this.id,
      ...(this.streamed?.token === undefined
        ? {}
        : {[RESUME_TOKEN_HEADER]: this.streamed.token}),
    });
  }

  private async write(text: string): Promise<void> {
    if (this.response.destroyed) return;
    if (this.response.write(text)) return;
    await new Promise<void>(resolve => {
      const go = () => {
        this.response.off('drain', go);
        this.response.off('close', go);
        resolve();
      };
      this.response.once('drain', go);
      this.response.once('close', go);
    });
  }
}

function errorBody(id: string, outcome: Outcome, failure: Failure) {
  return {
    error: {
      type: failure.type,
      message: describeFailure(failure),
      request_id: id,
      outcome,
      retry_after_ms: retryAfterMs(failure),
    },
  };
}

/** Answers a request that ended before anything was sent to its caller. */
export function writeFailure(
  response: ServerResponse,
  id: string,
  outcome: Outcome,
  failure: Failure,
): void {
  const wait = retryAfterMs(failure);
  const {contentType, body} = refusalBody(id, outcome, failure);
  response.writeHead(httpStatusOf(failure), {
    'content-type': contentType,
    'content-length': Buffer.byteLength(body),
    [REQUEST_ID_HEADER]: id,
    [OUTCOME_HEADER]: outcome,
    ...(wait === undefined
      ? {}
      : {'retry-after': String(Math.ceil(wait / 1000))}),
  });
  response.end(body);
}

/** The upstream's own answer where it gave one, else a typed error. */
function refusalBody(id: string, outcome: Outcome, failure: Failure) {
  if (failure.type === 'upstreamRejected') return failure;
  const body = JSON.stringify(errorBody(id, outcome, failure));
  return {contentType: 'application/json', body};
}
