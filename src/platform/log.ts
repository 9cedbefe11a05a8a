import {err, ok, type Result} from 'neverthrow';
import {request, type Dispatcher} from 'undici';
import {z} from 'zod';

/** Why a call to the platform failed. */
export type PlatformFailure =
  /** No response within the timeout; an append may have taken effect. */
  | {type: 'timeout'; operation: string}
  /** The connection failed; an append may have taken effect. */
  | {type: 'unreachable'; operation: string; cause: string}
  /** The platform refused the call, which had no effect. */
  | {type: 'refused'; operation: string; status: number}
  /** The response does not follow the platform's protocol. */
  | {type: 'malformed'; operation: string};

/** One record of a stream. */
export interface LogRecord {
  offset: number;
  /** When the log appended the record, in Unix ms by the log's clock. */
  time: number;
  value: unknown;
}

/** Consecutive records of a stream, oldest first. */
export interface LogPage {
  records: LogRecord[];
  /** Offset of the oldest record still retained. */
  first: number;
  /** Offset the next appended record will get. */
  next: number;
}

/** Range of a read, and how long it waits for new records. */
export interface LogPosition {
  /** Offset of the first record to read. */
  from: number;
  /** Most records to return. */
  limit?: number;
  /** How long the log may wait for a record before it responds, in ms. */
  waitMs?: number;
}

const pageSchema = z.object({
  records: z.array(
    z.object({offset: z.number(), time: z.number(), value: z.unknown()}),
  ),
  first: z.number(),
  next: z.number(),
});

const appendedSchema = z.object({offset: z.number()});

const CALL_TIMEOUT_MS = 2_000;
/** Time for the response to a read, beyond its wait for records. */
const READ_TIMEOUT_MARGIN_MS = 1_000;

/** Client of the platform's append-only log. */
export interface Log {
  append(
    stream: string,
    value: unknown,
  ): Promise<Result<number, PlatformFailure>>;
  read(
    stream: string,
    position: LogPosition,
  ): Promise<Result<LogPage, PlatformFailure>>;
}

/** Calls the platform's log over HTTP. Makes one attempt per call. */
export class HttpLog implements Log {
  /** Calls and bytes of their bodies, counted as control traffic. */
  readonly usage = {appends: 0, reads: 0, bytesOut: 0, bytesIn: 0};

  constructor(
    private readonly url: string,
    private readonly dispatcher: Dispatcher,
  ) {}

  /**
   * Appends one record and returns its offset. After `timeout` and
   * `unreachable`, the record may nevertheless be in the stream.
   */
  async append(
    stream: string,
    value: unknown,
  ): Promise<Result<number, PlatformFailure>> {
    const body = JSON.stringify(value);
    this.usage.appends++;
    this.usage.bytesOut += Buffer.byteLength(body);
    const response = await this.call('append', `/streams/${stream}/records`, {
      method: 'POST',
      body,
      timeoutMs: CALL_TIMEOUT_MS,
    });
    return response.andThen(value => {
      const parsed = appendedSchema.safeParse(value);
      if (parsed.success) return ok(parsed.data.offset);
      return err({type: 'malformed', operation: 'append'} as const);
    });
  }

  /** Reads the records from a position on, oldest first. */
  async read(
    stream: string,
    {from, limit = 500, waitMs = 0}: LogPosition,
  ): Promise<Result<LogPage, PlatformFailure>> {
    this.usage.reads++;
    const response = await this.call(
      'read',
      `/streams/${stream}/records?from=${from}&limit=${limit}&waitMs=${waitMs}`,
      {method: 'GET', timeoutMs: waitMs + READ_TIMEOUT_MARGIN_MS},
    );
    return response.andThen(value => {
      const parsed = pageSchema.safeParse(value);
      if (parsed.success) return ok(parsed.data);
      return err({type: 'malformed', operation: 'read'} as const);
    });
  }

  private async call(
    operation: string,
    path: string,
    options: {method: 'GET' | 'POST'; body?: string; timeoutMs: number},
  ): Promise<Result<unknown, PlatformFailure>> {
    const signal = AbortSignal.timeout(options.timeoutMs);
    try {
      const response = await request(new URL(path, this.url), {
        method: options.method,
        headers: {'content-type': 'application/json'},
        dispatcher: this.dispatcher,
        signal,
        ...(options.body === undefined ? {} : {body: options.body}),
      });
      const text = await response.body.text();
      this.usage.bytesIn += text.length;
      if (response.statusCode >= 300) {
        return err({type: 'refused', operation, status: response.statusCode});
      }
      return ok(JSON.parse(text) as unknown);
    } catch (cause) {
      if (signal.aborted) return err({type: 'timeout', operation});
      if (cause instanceof SyntaxError) {
        return err({type: 'malformed', operation});
      }
      return err({type: 'unreachable', operation, cause: String(cause)});
    }
  }
}
