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

/** Writes the HTTP response of one request to its caller. */
export class CallerAnswer implements AnswerSink {
  private responseHead?: {status: number; contentType: string; token?: string};
  private body?: Buffer;
  private concluded = false;

  constructor(
    private readonly response: ServerResponse,
    private readonly id: string,
    /** Issues the resume token of a stream; if absent, none is sent. */
    private readonly issueToken?: (source: StreamSource) => string,
  ) {}

  head(status: number, contentType: string, source?: StreamSource): void {
    const token = source === undefined ? undefined : this.issueToken?.(source);
    this.responseHead ??= {
      status,
      contentType,
      ...(token === undefined ? {} : {token}),
    };
  }

  async event(event: EventSourceMessage): Promise<void> {
    if (this.concluded) return;
    this.sendHead();
    await this.write(formatEvent(event));
  }

  whole(body: Buffer): void {
    this.body = body;
  }

  /**
   * Ends the response with the outcome of the request. Later events and calls
   * are ignored.
   */
  conclude(conclusion: Conclusion): void {
    if (this.concluded) return;
    this.concluded = true;
    if (this.response.writableEnded || this.response.destroyed) return;
    const {outcome, failure} = conclusion;
    if (failure === undefined) this.complete();
    else if (this.response.headersSent) this.endWithError(outcome, failure);
    else writeFailure(this.response, this.id, outcome, failure);
  }

  private complete(): void {
    if (this.body === undefined) {
      this.sendHead();
      this.response.end(this.finalEvent(Outcome.Completed));
      return;
    }
    const {status = 200, contentType = 'application/json'} =
      this.responseHead ?? {};
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

  /** Ends a response whose head was already sent with an error event. */
  private endWithError(outcome: Outcome, failure: Failure): void {
    const error = JSON.stringify(errorBody(this.id, outcome, failure));
    this.response.end(`data: ${error}\n\n${this.finalEvent(outcome)}`);
  }

  private finalEvent(outcome: Outcome): string {
    const data = JSON.stringify({id: this.id, outcome});
    return `event: ${OUTCOME_EVENT}\ndata: ${data}\n\n`;
  }

  private sendHead(): void {
    if (this.response.headersSent) return;
    this.response.writeHead(this.responseHead?.status ?? 200, {
      'content-type': this.responseHead?.contentType ?? 'text/event-stream',
      'cache-control': 'no-store',
      [REQUEST_ID_HEADER]: this.id,
      ...(this.responseHead?.token === undefined
        ? {}
        : {[RESUME_TOKEN_HEADER]: this.responseHead.token}),
    });
  }

  /** Writes to the response and waits while its send buffer is full. */
  private async write(text: string): Promise<void> {
    if (this.response.destroyed) return;
    if (this.response.write(text)) return;
    await new Promise<void>(resolve => {
      const resume = () => {
        this.response.off('drain', resume);
        this.response.off('close', resume);
        resolve();
      };
      this.response.once('drain', resume);
      this.response.once('close', resume);
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

/**
 * Sends a complete error response, with a `retry-after` header in seconds where
 * the failure gives a delay. Nothing may have been sent to the caller before.
 */
export function writeFailure(
  response: ServerResponse,
  id: string,
  outcome: Outcome,
  failure: Failure,
): void {
  const retryMs = retryAfterMs(failure);
  const {contentType, body} = failureBody(id, outcome, failure);
  response.writeHead(httpStatusOf(failure), {
    'content-type': contentType,
    'content-length': Buffer.byteLength(body),
    [REQUEST_ID_HEADER]: id,
    [OUTCOME_HEADER]: outcome,
    ...(retryMs === undefined
      ? {}
      : {'retry-after': String(Math.ceil(retryMs / 1000))}),
  });
  response.end(body);
}

/** Returns the error response of the upstream, or else a JSON error. */
function failureBody(id: string, outcome: Outcome, failure: Failure) {
  if (failure.type === 'upstreamRejected') return failure;
  const body = JSON.stringify(errorBody(id, outcome, failure));
  return {contentType: 'application/json', body};
}
