import type {InstanceAddress} from './message.js';

/** Sends and receives datagrams; nothing tells whether one arrives. */
export interface Datagrams {
  broadcast(
    peers: Iterable<InstanceAddress>,
    method: string,
    params: unknown,
  ): void;
  handle(method: string, handler: (params: unknown) => unknown): void;
}
