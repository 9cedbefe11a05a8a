import {err, ok, type Result} from 'neverthrow';
import {BodyTooLong, readBounded, type Upstream} from '../upstream/index.js';
import {
  engineStateSchema,
  type EngineOrder,
  type EngineState,
} from './protocol.js';

/**
 * Timeout of a call to an engine. A new lease holder waits this long before its
 * first order, so that no order of the previous holder is under way.
 */
export const ORDER_TIMEOUT_MS = 1_000;
/** Longest answer of an engine, in bytes. */
const ANSWER_LIMIT_BYTES = 1024 * 1024;

/** Why an order to an engine, or a read of its state, failed. */
export type OrderFailure =
  /** No response within the timeout; the order may have been executed. */
  | {type: 'engineSilent'; upstream: string; cause: string}
  /** The engine has seen a newer fencing number. */
  | {type: 'staleFencing'; upstream: string}
  /** The engine refused the order, which had no effect. */
  | {type: 'orderRefused'; upstream: string; status: number}
  /** The response does not follow the protocol. */
  | {type: 'engineMalformed'; upstream: string};

/** Sends orders to engines and reads their states over HTTP. */
export class EngineClient {
  /** Orders sent, states read, and size of the responses. */
  readonly usage = {orders: 0, reads: 0, bytesIn: 0};

  /** `token` is the bearer token for engines that authenticate senders. */
  constructor(private readonly token?: string) {}

  /** Reads an engine's state. */
  async state(upstream: Upstream): Promise<Result<EngineState, OrderFailure>> {
    this.usage.reads++;
    const answer = await this.call(upstream, 'GET', '/models');
    return answer.andThen(value => {
      const parsed = engineStateSchema.safeParse(value);
      if (parsed.success) return ok(parsed.data);
      const {name} = upstream;
      return err({type: 'engineMalformed', upstream: name} as const);
    });
  }

  /**
   * Sends an order, without retries. `ok` means that the engine has executed
   * the order, now or before; a load it started may still be under way.
   */
  async order(
    upstream: Upstream,
    order: EngineOrder,
  ): Promise<Result<void, OrderFailure>> {
    this.usage.orders++;
    const answer = await this.call(upstream, 'POST', '/orders', order);
    return answer.map(() => undefined);
  }

  private async call(
    upstream: Upstream,
    method: 'GET' | 'POST',
    path: string,
    body?: EngineOrder,
  ): Promise<Result<unknown, OrderFailure>> {
    const {name} = upstream;
    try {
      const response = await upstream.connections.request({
        method,
        path,
        headers: this.headersFor(upstream),
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(ORDER_TIMEOUT_MS),
      });
      const answer = await readBounded(response.body, ANSWER_LIMIT_BYTES);
      const text = answer.toString('utf8');
      this.usage.bytesIn += answer.length;
      const status = response.statusCode;
      if (status === 409) return err({type: 'staleFencing', upstream: name});
      if (status >= 300) {
        return err({type: 'orderRefused', upstream: name, status});
      }
      return ok(JSON.parse(text) as unknown);
    } catch (cause) {
      if (cause instanceof SyntaxError || cause instanceof BodyTooLong) {
        return err({type: 'engineMalformed', upstream: name});
      }
      const reason = String(cause);
      return err({type: 'engineSilent', upstream: name, cause: reason});
    }
  }

  private headersFor({pool}: Upstream): Record<string, string> {
    const content = {'content-type': 'application/json'};
    if (!pool.checksSender || this.token === undefined) return content;
    return {...content, authorization: `Bearer ${this.token}`};
  }
}
