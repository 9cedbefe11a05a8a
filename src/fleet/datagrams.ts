import type {Result} from 'neverthrow';
import type {InstanceAddress} from './message.js';

/** Sends and receives datagrams; nothing tells whether one arrives. */
export interface Datagrams {
  broadcast(
    peers: Iterable<InstanceAddress>,
    method: string,
    params: unknown,
  ): void;
  /** Asks a peer; fails if no answer comes in time. */
  call(
    peer: InstanceAddress,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, unknown>>;
  /** Sets what a method does; a call is answered by what it returns. */
  handle(method: string, handler: (params: unknown) => unknown): void;
}
