import {err, ok, type Result} from 'neverthrow';
import {request, type Dispatcher} from 'undici';
import {z} from 'zod';
import type {PlatformFailure} from './log.js';

const STATUS_TIMEOUT_MS = 1_000;

const statusSchema = z.object({
  /** Total read bandwidth, which all readers share, in bytes/s. */
  bytesPerSecond: z.number(),
  /** Time the store needs to serve all pending reads, in ms. */
  backlogMs: z.number(),
});

/** Bandwidth and backlog of the weight store. */
export type WeightStoreStatus = z.infer<typeof statusSchema>;

/** Client of the platform's store of model and adapter weights. */
export interface WeightStore {
  status(): Promise<Result<WeightStoreStatus, PlatformFailure>>;
}

/** Calls the platform's weight store over HTTP; one attempt per call. */
export class HttpWeightStore implements WeightStore {
  constructor(
    private readonly url: string,
    private readonly dispatcher: Dispatcher,
  ) {}

  async status(): Promise<Result<WeightStoreStatus, PlatformFailure>> {
    const operation = 'weight store status';
    const signal = AbortSignal.timeout(STATUS_TIMEOUT_MS);
    try {
      const response = await request(new URL('/status', this.url), {
        dispatcher: this.dispatcher,
        signal,
      });
      const text = await response.body.text();
      const status = response.statusCode;
      if (status >= 300) return err({type: 'refused', operation, status});
      const parsed = statusSchema.safeParse(JSON.parse(text));
      if (parsed.success) return ok(parsed.data);
      return err({type: 'malformed', operation});
    } catch (cause) {
      if (signal.aborted) return err({type: 'timeout', operation});
      if (cause instanceof SyntaxError) {
        return err({type: 'malformed', operation});
      }
      return err({type: 'unreachable', operation, cause: String(cause)});
    }
  }
}
