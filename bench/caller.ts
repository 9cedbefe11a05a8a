import {createParser, type EventSourceMessage} from 'eventsource-parser';
import {request, type Dispatcher} from 'undici';

/** A request to a router or an engine. */
export interface Call {
  /** Base URL of the router or engine. */
  url: string;
  path: string;
  /** Workspace API key, sent as a bearer token. */
  key: string;
  headers?: Record<string, string>;
  /** Absent when a stream is resumed; the request is then a GET. */
  body?: unknown;
}

/** The response to a call, with its measured times. */
export interface Reply {
  status: number;
  /** Request id from the response headers; empty if absent. */
  id: string;
  /** Outcome from the header or the final event; absent if none arrived. */
  outcome?: string;
  /** Generated text of a stream, or the body of any other response. */
  text: string;
  /** Id of the last stream event with content. */
  lastEventId?: string;
  /** Token with which the stream can be resumed. */
  resumeToken?: string;
  /** Whether a stream reached `[DONE]`, or the status is below 400. */
  ended: boolean;
  /** Error type that the response states, or why its stream broke. */
  error?: string;
  /** Delay before a retry that the error advises, in ms. */
  retryAfterMs?: number;
  /** Time from the call to the first token, in ms. */
  firstTokenMs?: number;
  /** Time from the call to the end of the response, in ms. */
  totalMs: number;
  /** Stream events with content, each of which carries one token. */
  tokens: number;
}

/** Accumulates the events of one streamed response. */
class StreamCollector {
  text = '';
  tokens = 0;
  ended = false;
  outcome?: string;
  error?: string;
  firstTokenMs?: number;
  lastEventId?: string;

  constructor(
    private readonly start: number,
    private readonly onFirstToken: () => void,
  ) {}

  add(event: EventSourceMessage): void {
    if (event.event === 'gypsumcourse.outcome') {
      this.outcome = (JSON.parse(event.data) as {outcome: string}).outcome;
      return;
    }
    if (event.data === '[DONE]') {
      this.ended = true;
      return;
    }
    const chunk = JSON.parse(event.data) as {
      choices?: Array<{delta?: {content?: string}}>;
      error?: {type: string};
    };
    if (chunk.error !== undefined) this.error = chunk.error.type;
    const content = chunk.choices?.[0]?.delta?.content;
    if (content === undefined) return;
    if (this.firstTokenMs === undefined) {
      this.firstTokenMs = performance.now() - this.start;
      this.onFirstToken();
    }
    this.tokens++;
    this.text += content;
    if (event.id !== undefined) this.lastEventId = event.id;
  }
}

/** Options of [[call]]. */
export interface CallOptions {
  dispatcher?: Dispatcher;
  signal?: AbortSignal;
  /** Called when the first token of a stream arrives. */
  onFirstToken?: () => void;
}

/**
 * Sends one request and reads its whole response. Rejects only when the
 * connection fails or is aborted before the response headers arrive, or when
 * the body of a response that is no stream breaks off.
 */
export async function call(
  {url, path, key, headers, body}: Call,
  {onFirstToken = () => undefined, ...options}: CallOptions = {},
): Promise<Reply> {
  const start = performance.now();
  const response = await request(new URL(path, url), {
    method: body === undefined ? 'GET' : 'POST',
    headers: {
      'content-type': 'application/json',
      authorization: `Bearer ${key}`,
      ...headers,
    },
    ...(body === undefined ? {} : {body: encodeBody(body)}),
    headersTimeout: 0,
    bodyTimeout: 0,
    ...options,
  });
  const requestId = String(response.headers['gypsumcourse-request-id'] ?? '');
  const contentType = String(response.headers['content-type'] ?? '');
  const resumeTokenHeader = response.headers['gypsumcourse-resume-token'];
  if (contentType.startsWith('text/event-stream')) {
    const collector = new StreamCollector(start, onFirstToken);
    const parser = createParser({onEvent: event => collector.add(event)});
    const decoder = new TextDecoder();
    try {
      for await (const chunk of response.body) {
        parser.feed(decoder.decode(chunk as Buffer, {stream: true}));
      }
    } catch (cause) {
      collector.error ??= String(cause);
    }
    return {
      status: response.statusCode,
      id: requestId,
      ...(collector.outcome === undefined ? {} : {outcome: collector.outcome}),
      text: collector.text,
      ended: collector.ended,
      ...(collector.lastEventId === undefined
        ? {}
        : {lastEventId: collector.lastEventId}),
      ...(typeof resumeTokenHeader === 'string'
        ? {resumeToken: resumeTokenHeader}
        : {}),
      ...(collector.error === undefined ? {} : {error: collector.error}),
      ...(collector.firstTokenMs === undefined
        ? {}
        : {firstTokenMs: collector.firstTokenMs}),
      totalMs: performance.now() - start,
      tokens: collector.tokens,
    };
  }
  const text = await response.body.text();
  return nonStreamingReply(
    response,
    requestId,
    text,
    performance.now() - start,
  );
}

function encodeBody(body: unknown): string {
  return typeof body === 'string' ? body : JSON.stringify(body);
}

function nonStreamingReply(
  response: Dispatcher.ResponseData,
  id: string,
  text: string,
  totalMs: number,
): Reply {
  const outcome = response.headers['gypsumcourse-outcome'];
  const reply: Reply = {
    status: response.statusCode,
    id,
    text,
    ended: response.statusCode < 400,
    totalMs,
    firstTokenMs: totalMs,
    tokens: 0,
    ...(typeof outcome === 'string' ? {outcome} : {}),
  };
  if (response.statusCode < 400) return reply;
  try {
    const {error} = JSON.parse(text) as {
      error?: {type: string; retry_after_ms?: number};
    };
    return {
      ...reply,
      ...(error === undefined ? {} : {error: error.type}),
      ...(error?.retry_after_ms === undefined
        ? {}
        : {retryAfterMs: error.retry_after_ms}),
    };
  } catch {
    return reply;
  }
}
