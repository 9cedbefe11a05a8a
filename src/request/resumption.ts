import {z} from 'zod';
import type {Timer} from '../timer/index.js';
import type {Upstream} from '../upstream/index.js';
import {X_REQUEST_ID} from './attempt.js';
import type {AnswerSink} from './sink.js';
import {openProbedConnection} from './connection.js';
import {Outcome, type Conclusion, type Failure} from './outcome.js';
import {relayEvents, StreamProgress} from './relay.js';
import {resumeStream} from './upstreamstream.js';
import {Watchdog} from './watchdog.js';

/** Header that carries the token for resuming a stream. */
export const RESUME_TOKEN_HEADER = 'gypsumcourse-resume-token';

const RESUMES_LIMIT = 2;
const FIRST_BYTE_TIMEOUT_MS = 5_000;
const IDLE_TIMEOUT_MS = 10_000;
const TOKEN_LIFETIME_MS = 3_600_000;

const ticketSchema = z.object({
  /** Id of the request that was sent to the caller. */
  request: z.string(),
  /** Id of the stream on the upstream. */
  stream: z.string(),
  /** Name of the upstream. */
  upstream: z.string(),
  /** Name of the workspace that may resume the stream. */
  workspace: z.string(),
  /** Wall-clock time in ms after which the token is invalid. */
  expiresAt: z.number(),
});

/** Payload of a resume token. */
export type ResumeTicket = z.output<typeof ticketSchema>;

/** Signs and verifies text with secrets that all instances share. */
export interface Signer {
  sign(message: string): string;
  verify(message: string, signature: string): boolean;
}

/** Dependencies of [[Resumption]]. */
export interface ResumptionParts {
  signer: Signer;
  timer: Timer;
  /** Finds an upstream by its name. */
  upstream(name: string): Upstream | undefined;
}

/**
 * Resumes streams for callers that lost their connection, on any instance, as
 * long as the engine still buffers the stream. Tokens are signed, so that no
 * instance has to store them.
 */
export class Resumption {
  constructor(private readonly parts: ResumptionParts) {}

  /** Returns a signed token for resuming a stream. */
  issueToken(ticket: Omit<ResumeTicket, 'expiresAt'>): string {
    const expiresAt = this.parts.timer.wallNow() + TOKEN_LIFETIME_MS;
    const text = JSON.stringify({...ticket, expiresAt});
    const payload = Buffer.from(text).toString('base64url');
    return `${payload}.${this.parts.signer.sign(payload)}`;
  }

  /**
   * Returns the payload of a token; undefined if it is forged, expired or
   * issued to another workspace.
   */
  verifyToken(token: string, workspace: string): ResumeTicket | undefined {
    const [payload = '', signature = ''] = token.split('.', 2);
    if (!this.parts.signer.verify(payload, signature)) return undefined;
    const text = Buffer.from(payload, 'base64url').toString('utf8');
    const parsed = ticketSchema.safeParse(JSON.parse(text));
    if (!parsed.success || parsed.data.workspace !== workspace) {
      return undefined;
    }
    const isExpired = parsed.data.expiresAt < this.parts.timer.wallNow();
    return isExpired ? undefined : parsed.data;
  }

  /** Forwards the events of a stream after `lastEventId` until it ends. */
  async resume(
    ticket: ResumeTicket,
    lastEventId: string | undefined,
    sink: AnswerSink,
    callerGone: AbortSignal,
  ): Promise<Conclusion> {
    const progress = new StreamProgress();
    if (lastEventId !== undefined) progress.lastEventId = lastEventId;
    let failure: Failure = {type: 'streamLost'};
    for (
      let resumes = 0;
      resumes < RESUMES_LIMIT && progress.resumable;
      resumes++
    ) {
      const error = await this.tryResume(ticket, progress, sink, callerGone);
      if (error === undefined) return {outcome: Outcome.Completed};
      failure = error;
      if (callerGone.aborted || failure.type === 'streamLost') break;
    }
    return {outcome: Outcome.Failed, failure};
  }

  /** Runs one attempt; returns its failure, or undefined if it completed. */
  private async tryResume(
    {stream, upstream: name}: ResumeTicket,
    progress: StreamProgress,
    sink: AnswerSink,
    callerGone: AbortSignal,
  ): Promise<Failure | undefined> {
    const {timer} = this.parts;
    const upstream = this.parts.upstream(name);
    if (upstream === undefined) return {type: 'streamLost'};
    const client = await openProbedConnection(upstream, timer, callerGone);
    if (client === undefined) return {type: 'upstreamLost', cause: 'no answer'};
    const limits = {
      firstByteMs: FIRST_BYTE_TIMEOUT_MS,
      idleMs: IDLE_TIMEOUT_MS,
    };
    const watchdog = new Watchdog(timer, limits, callerGone);
    try {
      const {statusCode, headers, body} = await resumeStream(
        client,
        stream,
        progress.lastEventId,
        watchdog.signal,
      );
      // An unread body emits an error when its client is closed, which would be
      // uncaught.
      body.on('error', () => undefined);
      if (statusCode >= 400) return {type: 'streamLost'};
      if (headers[X_REQUEST_ID] !== stream) return {type: 'wrongAnswer'};
      sink.head(statusCode, String(headers['content-type'] ?? ''));
      const onBytes = () => watchdog.recordActivity();
      await relayEvents(body, progress, onBytes, event => sink.event(event));
      if (progress.ended) return undefined;
      return {type: 'upstreamLost', cause: 'no end of stream'};
    } catch (cause) {
      if (watchdog.expired) {
        return {type: 'upstreamSilent', limitMs: watchdog.limitMs};
      }
      return {type: 'upstreamLost', cause: String(cause)};
    } finally {
      watchdog.end();
      void client.destroy();
    }
  }
}
