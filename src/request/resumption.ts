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

/** Header that carries the token by which a stream can be resumed. */
export const RESUME_TOKEN_HEADER = 'gypsumcourse-resume-token';

const TRIES = 2;
const FIRST_BYTE_MS = 5_000;
const IDLE_MS = 10_000;
const TOKEN_LIFE_MS = 3_600_000;

const ticketSchema = z.object({
  /** Id of the request, as its caller knows it. */
  request: z.string(),
  /** Id of the stream at the upstream. */
  stream: z.string(),
  upstream: z.string(),
  workspace: z.string(),
  /** Wall-clock ms after which the token is void. */
  expiresAt: z.number(),
});

/** What a resume token says. */
export type ResumeTicket = z.output<typeof ticketSchema>;

/** Signs and verifies text with the secrets that all instances share. */
export interface Signer {
  sign(message: string): string;
  verify(message: string, signature: string): boolean;
}

/** What a [[Resumption]] needs of the rest of the instance. */
export interface ResumptionParts {
  signer: Signer;
  timer: Timer;
  /** Finds an upstream by its name. */
  upstream(name: string): Upstream | undefined;
}

/**
 * Lets callers go on with a stream whose connection they lost, through any
 * instance, while the engine still holds it. Tokens are signed, so that no
 * instance has to remember them.
 */
export class Resumption {
  constructor(private readonly parts: ResumptionParts) {}

  /** Returns the token of a stream. */
  issueToken(ticket: Omit<ResumeTicket, 'expiresAt'>): string {
    const expiresAt = this.parts.timer.wallNow() + TOKEN_LIFE_MS;
    const text = JSON.stringify({...ticket, expiresAt});
    const payload = Buffer.from(text).toString('base64url');
    return `${payload}.${this.parts.signer.sign(payload)}`;
  }

  /** Returns what a token says; undefined unless it is valid. */
  verifyToken(token: string, workspace: string): ResumeTicket | undefined {
    const [payload = '', signature = ''] = token.split('.', 2);
    if (!this.parts.signer.verify(payload, signature)) return undefined;
    const text = Buffer.from(payload, 'base64url').toString('utf8');
    const parsed = ticketSchema.safeParse(JSON.parse(text));
    if (!parsed.success || parsed.data.workspace !== workspace) {
      return undefined;
    }
    const isOver = parsed.data.expiresAt < this.parts.timer.wallNow();
    return isOver ? undefined : parsed.data;
  }

  /** Goes on with a stream after `lastEventId` until it ends. */
  async resume(
    ticket: ResumeTicket,
    lastEventId: string | undefined,
    sink: AnswerSink,
    gone: AbortSignal,
  ): Promise<Conclusion> {
    const progress = new StreamProgress();
    if (lastEventId !== undefined) progress.lastEventId = lastEventId;
    let failure: Failure = {type: 'streamLost'};
    for (let turn = 0; turn < TRIES && progress.resumable; turn++) {
      const broken = await this.tryResume(ticket, progress, sink, gone);
      if (broken === undefined) return {outcome: Outcome.Completed};
      failure = broken;
      if (gone.aborted || failure.type === 'streamLost') break;
    }
    return {outcome: Outcome.Failed, failure};
  }

  /** One try; returns why it broke, or undefined at the proper end. */
  private async tryResume(
    {stream, upstream: name}: ResumeTicket,
    progress: StreamProgress,
    sink: AnswerSink,
    gone: AbortSignal,
  ): Promise<Failure | undefined> {
    const {timer} = this.parts;
    const upstream = this.parts.upstream(name);
    if (upstream === undefined) return {type: 'streamLost'};
    const client = await openProbedConnection(upstream, timer, gone);
    if (client === undefined) return {type: 'upstreamLost', cause: 'no answer'};
    const limits = {firstByteMs: FIRST_BYTE_MS, idleMs: IDLE_MS};
    const watchdog = new Watchdog(timer, limits, gone);
    try {
      const {statusCode, headers, body} = await resumeStream(
        client,
        stream,
        progress.lastEventId,
        watchdog.signal,
      );
      // A body that is left unread emits an error when its client is closed.
      body.on('error', () => undefined);
      if (statusCode >= 400) return {type: 'streamLost'};
      if (headers[X_REQUEST_ID] !== stream) return {type: 'wrongAnswer'};
      sink.head(statusCode, String(headers['content-type'] ?? ''));
      const heard = () => watchdog.recordActivity();
      await relayEvents(body, progress, heard, event => sink.event(event));
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
