import type {ServerResponse} from 'node:http';
import type {ReceivedHead, BufferedResponse} from './attempt.js';
import {refusalRetryMs, refusalStatus, type Refusal} from './refusal.js';

/** Writes the answer of one request to its caller. */
export class Reply {
  private ended = false;

  constructor(
    private readonly response: ServerResponse,
    /** Whether the connection is to be closed after the answer. */
    private readonly closing: () => boolean,
  ) {
    response.sendDate = false;
  }

  /** Whether the head of the answer is out. */
  get headersSent(): boolean {
    return this.response.headersSent;
  }

  /** Whether the caller can't be reached any more. */
  get callerGone(): boolean {
    return this.response.destroyed && !this.response.writableFinished;
  }

  /** Starts an answer that is delivered as it arrives. */
  start(head: ReceivedHead): void {
    this.response.writeHead(
      head.status,
      this.headersOf(head, head.forwardedHeaders),
    );
    this.response.flushHeaders();
  }

  /** Delivers bytes; false asks to wait until `resume` is called. */
  write(chunk: Buffer, resume: () => void): boolean {
    if (this.response.destroyed || chunk.length === 0) return true;
    if (this.response.write(chunk)) return true;
    this.response.once('drain', resume);
    return false;
  }

  /** Ends an answer that was delivered as it arrived. */
  finish(): void {
    this.ended = true;
    this.response.end();
  }

  /** Delivers a whole answer of an upstream. */
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

  /** Ends the request without an upstream's answer. */
  refuse(refusal: Refusal): void {
    if (this.ended) return;
    this.ended = true;
    if (this.response.headersSent) {
      // An answer that ends early must not look complete.
      this.response.destroy();
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

  /**
   * An answer without a length may have been cut by the end of its upstream, so
   * it must not get a length, or an end of its own, on the way.
   */
  private headersOf({framed}: ReceivedHead, headers: string[]): string[] {
    if (framed) return this.withClosing(headers);
    this.response.useChunkedEncodingByDefault = false;
    return [...headers, 'connection', 'close'];
  }

  private withClosing(headers: string[]): string[] {
    return this.closing() ? [...headers, 'connection', 'close'] : headers;
  }
}

function withoutLength(headers: readonly string[]): string[] {
  const kept: string[] = [];
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index] ?? '';
    if (name.toLowerCase() === 'content-length') continue;
    kept.push(name, headers[index + 1] ?? '');
  }
  return kept;
}
