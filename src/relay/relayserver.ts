import type {Socket} from 'node:net';
import type {Timer} from '../timer/index.js';
import type {UpstreamDialer} from './dialer.js';
import {LATE_RESET_MS, LONG_REQUEST_BYTES} from './latereset.js';
import {Path} from './reachability.js';
import type {TunnelReply, UpstreamAddress} from './tunnel.js';
import type {UpstreamLinks} from './upstreamlinks.js';

/**
 * Connections that are relayed at a time. Each takes two of the process's file
 * descriptors, and buffers of some 100 kB at the most.
 */
const MAX_RELAYED = 256;
/**
 * Time within which a connection to an upstream must open, in ms; shorter than the
 * time for which a peer waits for the answer.
 */
const OPEN_TIMEOUT_MS = 300;

/** Dependencies of [[RelayServer]]. */
export interface RelayServerParts {
  dialer: Pick<UpstreamDialer, 'dialDirectly'>;
  links: UpstreamLinks;
  /** The known upstream that listens at an address. */
  upstreamAt(host: string, port: number): UpstreamAddress | undefined;
  timer: Timer;
  /** Whether this instance is shutting down. */
  isLeaving(): boolean;
}

/**
 * Opens connections to upstreams for peers that don't reach them. Only its own
 * direct connections are relayed, so that nothing passes through two peers.
 */
export class RelayServer {
  /** Connections that are open for peers. */
  active = 0;
  private opened = 0;
  private refused = 0;

  constructor(private readonly parts: RelayServerParts) {}

  /** Opens a connection to the upstream at an address. */
  async open(host: string, port: number): Promise<TunnelReply> {
    const {links} = this.parts;
    const upstream = this.parts.upstreamAt(host, port);
    const canRelay =
      upstream !== undefined &&
      !this.parts.isLeaving() &&
      this.active < MAX_RELAYED &&
      links.pathTo(upstream) === Path.Direct;
    if (!canRelay) {
      this.refused++;
      return {type: 'refused'};
    }
    this.active++;
    const reply = await this.dial(upstream);
    if (reply.type !== 'opened') {
      this.active--;
      links.noteFailure(upstream);
      return reply;
    }
    this.opened++;
    reply.socket.once('close', () => this.active--);
    return reply;
  }

  /** Gauges and counters of /metrics, by name. */
  gauges(): Record<string, number> {
    return {
      relayed_connections: this.active,
      relayed_connections_total: this.opened,
      relays_refused_total: this.refused,
    };
  }

  private dial(upstream: UpstreamAddress): Promise<TunnelReply> {
    const {dialer, timer} = this.parts;
    return new Promise(resolve => {
      let isOver = false;
      const finish = (reply: TunnelReply) => {
        isOver = true;
        timeout.end();
        resolve(reply);
      };
      const timeout = timer.after(OPEN_TIMEOUT_MS, () =>
        finish({type: 'failed', code: 'ETIMEDOUT'}),
      );
      dialer.dialDirectly(upstream, result => {
        if (result.isErr()) {
          finish({type: 'failed', code: codeOf(result.error)});
        } else if (isOver) result.value.socket.destroy();
        else finish({type: 'opened', socket: result.value.socket});
      });
    });
  }
}

function codeOf(error: Error): string {
  return 'code' in error && typeof error.code === 'string' ? error.code : '';
}

/**
 * Passes bytes on between a peer and an upstream until either ends.
 * `resetPeer` resets the TCP connection of the peer, over TLS as well.
 */
export function joinSockets(
  peer: Socket,
  upstream: Socket,
  timer: Pick<Timer, 'sleep'>,
  resetPeer: () => void,
): void {
  const passBreak = () => {
    // Node.js leaks the descriptor of a socket that is reset while it ends.
    if (peer.writableEnded) peer.destroy();
    else resetPeer();
  };
  const passEnd = () => {
    if (mayBeBroken(upstream)) {
      passBreak();
      return;
    }
    peer.end();
    upstream.end();
  };
  // Its end is passed on only once no reset follows.
  upstream.allowHalfOpen = true;
  upstream.once('end', () => {
    if (upstream.bytesWritten <= LONG_REQUEST_BYTES) passEnd();
    else void timer.sleep(LATE_RESET_MS).then(passEnd);
  });
  peer.pipe(upstream, {end: false});
  upstream.pipe(peer, {end: false});
  // HTTP clients close a connection as a whole.
  for (const event of ['end', 'close', 'error']) {
    peer.once(event, () => upstream.destroy());
  }
  // An answer without a length is whole only if its connection was closed.
  upstream.once('error', passBreak);
  upstream.once('close', () => {
    if (!upstream.readableEnded) passBreak();
  });
}

/**
 * Whether an upstream that ended its connection in order may have broken off. A
 * reset that is read together with the last bytes ends the socket like a close;
 * only a socket that was reset has no remote address then. An upstream that ends
 * the connection while it takes no more of the request may have broken off, too.
 */
function mayBeBroken(upstream: Socket): boolean {
  const wasReset = upstream.remoteAddress === undefined;
  return wasReset || upstream.writableLength > 0;
}
