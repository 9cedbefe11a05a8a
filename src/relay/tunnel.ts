import type {Result} from 'neverthrow';
import type {Socket} from 'node:net';
import type {RelayPeer} from './relaychoice.js';

/** An upstream's process, and where it listens. */
export interface UpstreamAddress {
  id: string;
  service: string;
  host: string;
  port: number;
}

/** Why a peer has opened no connection to an upstream. */
export type TunnelFailure =
  /** The peer can't be reached, or does not answer as one. */
  | {type: 'peer'; cause: string}
  /** The peer relays nothing now, or not to this upstream. */
  | {type: 'refused'}
  /** The peer does not reach the upstream; `code` is that of its system. */
  | {type: 'upstream'; code: string};

/** Opens connections to upstreams through peers. */
export interface Tunnels {
  open(
    peer: RelayPeer,
    upstream: UpstreamAddress,
    signal: AbortSignal,
  ): Promise<Result<Socket, TunnelFailure>>;
}

/** Answer to a peer that asks for a connection to an upstream. */
export type TunnelReply =
  | {type: 'opened'; socket: Socket}
  /** Nothing is relayed now, or not to this address. */
  | {type: 'refused'}
  | {type: 'failed'; code: string};
