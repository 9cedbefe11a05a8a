import {err, ok, type Result} from 'neverthrow';
import type {Socket} from 'node:net';
import type {Subscription, Timer} from '../timer/index.js';
import {Isolation, Path} from './reachability.js';
import type {RelayPeer} from './relaychoice.js';
import type {RelayClient} from './relayclient.js';
import type {UpstreamLinks} from './upstreamlinks.js';
import type {TunnelFailure, UpstreamAddress} from './tunnel.js';

/** Time after which a peer is asked beside a direct connection, in ms. */
const HEDGE_MS = 150;

/** A connection to an upstream. */
export interface OpenConnection {
  socket: Socket;
  path: Path;
  /** The instance that relays it; absent if none does. */
  peer?: RelayPeer;
}

/** Called once, with a connection or the reason why there is none. */
export type DialCallback = (result: Result<OpenConnection, Error>) => void;

/** Opens connections to upstreams, and is told how they fare. */
export interface UpstreamDialer {
  /** Opens a connection by a way that works, as far as known. */
  dial(upstream: UpstreamAddress, callback: DialCallback): void;
  /** Opens a connection through a peer. */
  dialThrough(
    upstream: UpstreamAddress,
    peer: RelayPeer,
    callback: DialCallback,
  ): void;
  /** Opens a direct connection, whatever is believed of the links. */
  dialDirectly(upstream: UpstreamAddress, callback: DialCallback): void;
  /** Whether idle connections may still lead to their upstreams. */
  trustsIdle(upstream: UpstreamAddress): boolean;
  /** Notes bytes that came over a direct connection. */
  noteBytes(upstream: UpstreamAddress): void;
  /** Notes a direct connection that failed. */
  noteFailure(upstream: UpstreamAddress): void;
}

/** No connection to an upstream could be opened through peers. */
export class RelayFailure extends Error {
  override name = 'RelayFailure';

  constructor(
    message: string,
    /** Error code of the peer's system, as for a direct connection. */
    readonly code: string,
    /** Whether a peer that is up opens no connection. */
    readonly isRefusal = false,
  ) {
    super(message);
  }
}

/** Dependencies of [[Dialer]]. */
export interface DialerParts {
  direct: Pick<UpstreamDialer, 'dialDirectly'>;
  relays: Pick<RelayClient, 'open' | 'openThrough'>;
  links: UpstreamLinks;
  timer: Timer;
}

/**
 * Opens connections to upstreams: directly, or through a peer where this
 * instance does not reach an upstream that the peer reaches.
 */
export class Dialer implements UpstreamDialer {
  constructor(private readonly parts: DialerParts) {}

  dial(upstream: UpstreamAddress, callback: DialCallback): void {
    new Dial(this.parts, upstream, callback).start();
  }

  dialDirectly(upstream: UpstreamAddress, callback: DialCallback): void {
    this.parts.direct.dialDirectly(upstream, callback);
  }

  dialThrough(
    upstream: UpstreamAddress,
    peer: RelayPeer,
    callback: DialCallback,
  ): void {
    void this.parts.relays
      .openThrough(upstream, peer)
      .then(result =>
        callback(
          result
            .map(({socket}) => ({socket, path: Path.Relayed, peer}))
            .mapErr(relayFailureOf),
        ),
      );
  }

  trustsIdle({service}: UpstreamAddress): boolean {
    return this.parts.links.isolationFrom(service) === Isolation.None;
  }

  noteBytes(upstream: UpstreamAddress): void {
    this.parts.links.noteBytes(upstream);
  }

  noteFailure(upstream: UpstreamAddress): void {
    this.parts.links.noteFailure(upstream);
  }
}

function relayFailureOf(failure: TunnelFailure): RelayFailure {
  switch (failure.type) {
    case 'peer':
      return new RelayFailure(failure.cause, '');
    case 'refused':
      return new RelayFailure('refused by a peer', '', true);
    case 'upstream': {
      const message = `connect ${failure.code}, by a peer`;
      return new RelayFailure(message, failure.code);
    }
  }
}

/** One connection that is to be opened, by two ways at most. */
class Dial {
  private isOver = false;
  private hedge?: Subscription;
  /** Why each way failed; a way that was not tried is absent. */
  private readonly errors = new Map<Path, Error>();
  private readonly begun = new Set<Path>();

  constructor(
    private readonly parts: DialerParts,
    private readonly upstream: UpstreamAddress,
    private readonly callback: DialCallback,
  ) {}

  start(): void {
    const {links} = this.parts;
    switch (links.pathTo(this.upstream)) {
      case Path.Direct:
        this.dialDirectly();
        return;
      case Path.Relayed:
        void this.relay();
        return;
    }
  }

  private dialDirectly(): void {
    const {direct, links, timer} = this.parts;
    const {upstream} = this;
    this.begun.add(Path.Direct);
    let isLate = false;
    this.hedge = timer.after(HEDGE_MS, () => {
      isLate = true;
      links.noteFailure(upstream);
      this.tryOther(Path.Relayed);
    });
    direct.dialDirectly(upstream, result => {
      this.hedge?.end();
      if (result.isErr()) {
        links.noteFailure(upstream);
        this.fail(Path.Direct, result.error);
        return;
      }
      if (isLate) links.noteConnected(upstream);
      this.succeed(result.value);
    });
  }

  private async relay(): Promise<void> {
    const {relays, links} = this.parts;
    const {upstream} = this;
    this.begun.add(Path.Relayed);
    const result = await relays.open(upstream);
    if (result.isOk()) {
      const {socket, peer} = result.value;
      links.notePeerReached(upstream, peer);
      this.succeed({socket, path: Path.Relayed, peer});
      return;
    }
    this.fail(Path.Relayed, relayFailureOf(result.error));
  }

  private fail(path: Path, error: Error): void {
    this.errors.set(path, error);
    if (this.isOver) return;
    this.tryOther(path === Path.Direct ? Path.Relayed : Path.Direct);
    if (this.errors.size < this.begun.size) return;
    this.isOver = true;
    this.callback(err(this.errors.get(Path.Direct) ?? error));
  }

  private tryOther(path: Path): void {
    if (this.isOver || this.begun.has(path)) return;
    if (path === Path.Relayed) {
      void this.relay();
      return;
    }
    // A direct connection may be accepted, and lost with the request on it.
    const isolation = this.parts.links.isolationFrom(this.upstream.service);
    if (isolation !== Isolation.Confirmed) this.dialDirectly();
  }

  private succeed(connection: OpenConnection): void {
    if (this.isOver) {
      connection.socket.destroy();
      return;
    }
    this.isOver = true;
    this.hedge?.end();
    this.callback(ok(connection));
  }
}
