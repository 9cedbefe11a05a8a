import {err, ok, type Result} from 'neverthrow';
import type {Upstream} from '../upstream/index.js';
import {
  engineStateSchema,
  type EngineOrder,
  type EngineState,
} from './protocol.js';

/**
 * Longest time an order takes. Whoever takes over a lease waits as long before
 * its first order.
 */
export const ORDER_TIMEOUT_MS = 1_000;

/** Why an engine did not do what it was told or asked. */
export type OrderFailure =
  /** No answer in time, or none at all; the order may have been executed. */
  | {type: 'engineSilent'; upstream: string; cause: string}
  /** The engine has seen a newer fencing number. */
  | {type: 'staleFencing'; upstream: string}
  /** The engine refused the order, which had no effect. */
  | {type: 'orderRefused'; upstream: string; status: number}
  /** The answer does not follow the protocol. */
  | {type: 'engineMalformed'; upstream: string};

/** Gives orders to engines, and reads what they hold. */
export class EngineClient {
  /** Orders sent, and states read. */
  readonly usage = {orders: 0, reads: 0, bytesIn: 0};

  /** `token` is sent to engines that check who gives them an order. */
  constructor(private readonly token?: string) {}

  /** Reads what an engine holds. */
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
   * Sends an order once. `ok` means that it was executed, or had been before;
   * a load then goes on in the engine.
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
      const text = await response.body.text();
      this.usage.bytesIn += text.length;
      const status = response.statusCode;
      if (status === 409) return err({type: 'staleFencing', upstream: name});
      if (status >= 300) {
        return err({type: 'orderRefused', upstream: name, status});
      }
      return ok(JSON.parse(text) as unknown);
    } catch (cause) {
      if (cause instanceof SyntaxError) {
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
