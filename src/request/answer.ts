import type {ServerResponse} from 'node:http';
import type {EventSourceMessage} from 'eventsource-parser';
import type {AnswerSink} from './attempt.js';
import type {Conclusion} from './execution.js';
import {
  describe,
  Outcome,
  OUTCOME_EVENT,
  OUTCOME_HEADER,
  REQUEST_ID_HEADER,
  retryAfterMs,
  statusOf,
  type Ending,
} from './outcome.js';

/** Writes the answer of one request to its caller. */
export class CallerAnswer implements AnswerSink {
  private streamed?: {status: number; contentType: string};
  private body?: Buffer;

  constructor(
    private readonly response: ServerResponse,
    private readonly id: string,
  ) {}

  head(status: number, contentType: string): void {
    this.streamed = {status, contentType};
  }

  async event(event: EventSourceMessage): Promise<void> {
    this.open();
    const id = event.id === undefined ? '' : `id: ${event.id}\n`;
    const type = event.event === undefined ? '' : `event: ${event.event}\n`;
    await this.write(`${id}${type}data: ${event.data}\n\n`);
  }

  whole(body: Buffer): void {
    this.body = body;
  }

  /** Ends the answer with its outcome. */
  conclude(conclusion: Conclusion): void {
    if (this.response.writableEnded || this.response.destroyed) return;
    if (conclusion.outcome === Outcome.Completed) this.complete();
    else if (this.response.headersSent) this.breakOff(conclusion);
    else this.refuse(conclusion);
  }

  private complete(): void {
    if (this.body !== undefined) {
      this.response.writeHead(this.streamed?.status ?? 200, {
        'content-type': this.streamed?.contentType ?? 'application/json',
        'content-length': this.body.length,
        [REQUEST_ID_HEADER]: this.id,
        [OUTCOME_HEADER]: Outcome.Completed,
      });
      this.response.end(this.body);
      return;
    }
    this.open();
    this.response.end(this.finalEvent(Outcome.Completed));
  }

  private breakOff(ending: Ending): void {
    const error = JSON.stringify(errorBody(this.id, ending));
    this.response.end(`data: ${error}\n\n${this.finalEvent(ending.outcome)}`);
  }

  private refuse(ending: Ending): void {
    writeRefusal(this.response, this.id, ending);
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

function errorBody(id: string, {outcome, failure}: Ending) {
  return {
    error: {
      type: failure.type,
      message: describe(failure),
      request_id: id,
      outcome,
      retry_after_ms: retryAfterMs(failure),
    },
  };
}

/** Answers a request that ended before anything was sent to its caller. */
export function writeRefusal(
  response: ServerResponse,
  id: string,
  ending: Ending,
): void {
  const wait = retryAfterMs(ending.failure);
  const body = JSON.stringify(errorBody(id, ending));
  response.writeHead(statusOf(ending.failure), {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    [REQUEST_ID_HEADER]: id,
    [OUTCOME_HEADER]: ending.outcome,
    ...(wait === undefined
      ? {}
      : {'retry-after': String(Math.ceil(wait / 1000))}),
  });
  response.end(body);
}
