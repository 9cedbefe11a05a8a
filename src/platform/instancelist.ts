import {err, ok, type Result} from 'neverthrow';
import {request, type Dispatcher} from 'undici';
import {z} from 'zod';
import type {PlatformFailure} from './log.js';

const CALL_TIMEOUT_MS = 2_000;

const listSchema = z.object({
  instances: z.array(
    z.object({
      name: z.string(),
      /** `instance` for routers, `upstream` for runners and services. */
      kind: z.enum(['instance', 'upstream']),
      state: z.enum(['live', 'leaving']),
      zone: z.string(),
      /** host:port of an instance's peer port, or the URL of an upstream. */
      address: z.string(),
    }),
  ),
});

/** One item of the platform's list. */
export type ListedInstance = z.output<typeof listSchema>['instances'][number];

/**
 * The platform's list of live and leaving instances. It lags behind: an item
 * may be outdated.
 */
export interface InstanceList {
  read(): Promise<Result<ListedInstance[], PlatformFailure>>;
}

/** Reads the platform's list over HTTP. Makes one attempt per call. */
export class HttpInstanceList implements InstanceList {
  /** Reads made and bytes received, counted as control traffic. */
  readonly usage = {reads: 0, bytesIn: 0};

  constructor(
    private readonly url: string,
    private readonly dispatcher: Dispatcher,
  ) {}

  async read(): Promise<Result<ListedInstance[], PlatformFailure>> {
    const operation = 'list';
    const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
    this.usage.reads++;
    try {
      const response = await request(new URL('/instances', this.url), {
        dispatcher: this.dispatcher,
        signal,
      });
      const text = await response.body.text();
      this.usage.bytesIn += text.length;
      if (response.statusCode >= 300) {
        return err({type: 'refused', operation, status: response.statusCode});
      }
      const parsed = listSchema.safeParse(JSON.parse(text));
      if (!parsed.success) return err({type: 'malformed', operation});
      return ok(parsed.data.instances);
    } catch (cause) {
      if (signal.aborted) return err({type: 'timeout', operation});
      if (cause instanceof SyntaxError) {
        return err({type: 'malformed', operation});
      }
      return err({type: 'unreachable', operation, cause: String(cause)});
    }
  }
}
