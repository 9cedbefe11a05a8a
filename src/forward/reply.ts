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
   * Sends the head of a streamed response. Without a length, the response is sent
   * in chunks, whatever its framing was, so that nothing but its last chunk ends
   * it: neither a break nor the end of this process looks like its end. A caller
   * of HTTP/1.0 can't take chunks; for it, the connection ends the response.
   */
  start(head: ReceivedHead): void {
    const headers = head.isEventStream
      ? withoutLength(head.forwardedHeaders)
      : head.forwardedHeaders;
    this.response.writeHead(head.status, this.withClosing(headers));
    this.response.flushHeaders();
    this.endsWithConnection =
      !this.response.chunkedEncoding && !hasLength(headers);
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
    if (hasBody) headers.push('content-length', String(body.length));
    this.response.writeHead(head.status, this.withClosing(headers));
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

  private withClosing(headers: string[]): string[] {
    return this.closesConnection()
      ? [...headers, 'connection', 'close']
      : headers;
  }
}

function hasLength(headers: readonly string[]): boolean {
  return headers.some((name, index) => index % 2 === 0 && isLengthHeader(name));
}

function isLengthHeader(name: string): boolean {
  return name.toLowerCase() === 'content-length';
}

function withoutLength(headers: readonly string[]): string[] {
  const remaining: string[] = [];
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index] ?? '';
    if (isLengthHeader(name)) continue;
    remaining.push(name, headers[index + 1] ?? '');
  }
  return remaining;
}
