import type {ServerResponse} from 'node:http';
import type {ReceivedHead, BufferedResponse} from './attemptresult.js';
import {refusalRetryMs, refusalStatus, type Refusal} from './refusal.js';

/** Writes the response of one request to its caller. */
export class Reply {
  private ended = false;
  /** Whether the end of the connection ends the response. */
  private endsWithConnection = false;

  constructor(
    private readonly response: ServerResponse,
    /** Whether the connection is closed after the response. */
    private readonly closesConnection: () => boolean,
  ) {
    response.sendDate = false;
  }

  /** Whether the head of the response was sent. */
  get headersSent(): boolean {
    return this.response.headersSent;
  }

  /** Whether the caller disconnected before the end of the response. */
  get callerGone(): boolean {
    return this.response.destroyed && !this.response.writableFinished;
  }

  /**
   * Sends the head of a streamed response. A stream of events is sent in chunks
   * whatever its framing was: its last event tells whether it is whole, and a
   * break can be shown up to its end.
   */
  start(head: ReceivedHead): void {
    const headers = head.isEventStream
      ? this.withClosing(withoutLength(head.forwardedHeaders))
      : this.headersOf(head, head.forwardedHeaders);
    this.response.writeHead(head.status, headers);
    this.response.flushHeaders();
  }

  /** Writes bytes; false asks to wait until `resume` is called. */
  write(chunk: Buffer, resume: () => void): boolean {
    if (this.response.destroyed || chunk.length === 0) return true;
    if (this.response.write(chunk)) return true;
    this.response.once('drain', resume);
    return false;
  }

  /** Ends a streamed response. */
  finish(): void {
    this.ended = true;
    this.response.end();
  }

  /** Sends the buffered response of an upstream. */
  sendBuffered({head, body}: BufferedResponse): void {
    this.ended = true;
    const headers = withoutLength(head.forwardedHeaders);
    const hasBody = head.status !== 204 && head.status !== 304;
    if (hasBody && head.framed) {
      headers.push('content-length', String(body.length));
    }
    this.response.writeHead(head.status, this.headersOf(head, headers));
    this.response.end(hasBody ? body : undefined);
  }

  /** Sends a refusal, or cuts a response that has already started. */
  refuse(refusal: Refusal): void {
    if (this.ended) return;
    this.ended = true;
    if (this.response.headersSent) {
      this.cut();
      return;
    }
    if (this.response.destroyed) return;
    const retryMs = refusalRetryMs(refusal);
    const body = JSON.stringify({error: refusal});
    const headers = [
      'content-type',
      'application/json',
      'content-length',
      String(Buffer.byteLength(body)),
    ];
    if (retryMs !== undefined) {
      headers.push('retry-after', (retryMs / 1000).toFixed(3));
    }
    this.response.writeHead(refusalStatus(refusal), this.withClosing(headers));
    this.response.end(body);
  }

  /** Ends the connection so that the response does not look complete. */
  private cut(): void {
    if (this.endsWithConnection) this.response.socket?.resetAndDestroy();
    this.response.destroy();
  }

  /**
   * A response without a length may have been cut when its upstream stopped, so
   * it is forwarded without a length or chunked encoding, which would mark its
   * end as complete.
   */
  private headersOf({framed}: ReceivedHead, headers: string[]): string[] {
    if (framed) return this.withClosing(headers);
    this.endsWithConnection = true;
    this.response.useChunkedEncodingByDefault = false;
    return [...headers, 'connection', 'close'];
  }

  private withClosing(headers: string[]): string[] {
    return this.closesConnection()
      ? [...headers, 'connection', 'close']
      : headers;
  }
}

function withoutLength(headers: readonly string[]): string[] {
  const remaining: string[] = [];
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index] ?? '';
    if (name.toLowerCase() === 'content-length') continue;
    remaining.push(name, headers[index + 1] ?? '');
  }
  return remaining;
}
