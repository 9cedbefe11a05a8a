import {
  Path,
  type DialCallback,
  type UpstreamAddress,
  type UpstreamDialer,
} from '../relay/index.js';
import type {Timer} from '../timer/index.js';
import {Closing, Connection} from './connections.js';
import {IdleEnds} from './idleends.js';

/** Idle and new connections of this instance to one upstream. */
export class ConnectionPool {
  private readonly idle: Connection[] = [];
  private retired = false;
  /** Number of connections opened so far. */
  opened = 0;
  readonly idleEnds = new IdleEnds();
  /** Whether the upstream's responses ask for the end of their connection. */
  closesEach = false;

  constructor(
    private readonly upstream: UpstreamAddress,
    private readonly dialer: UpstreamDialer,
    private readonly timer: Pick<Timer, 'now'>,
  ) {}

  /** Returns the most recently used idle connection, or a new one. */
  acquire(): Connection {
    return this.takeIdle() ?? this.open();
  }

  /** Takes the most recently used idle connection, if there is one. */
  takeIdle(): Connection | undefined {
    const connection = this.peekIdle();
    if (connection !== undefined) this.idle.pop();
    return connection;
  }

  /** The connection that would be taken. */
  peekIdle(): Connection | undefined {
    if (!this.dialer.trustsIdle(this.upstream)) return undefined;
    return this.idle.at(-1);
  }

  /**
   * Returns a connection to the pool; it is destroyed unless `intact`. One that
   * a peer relays is not kept, since it would be lost when the peer stops.
   */
  release(connection: Connection, intact: boolean): void {
    const isKept =
      intact &&
      connection.open &&
      connection.path === Path.Direct &&
      !this.retired;
    if (!isKept) {
      connection.destroy();
      return;
    }
    connection.idleSince = this.timer.now();
    this.idle.push(connection);
  }

  /** Closes idle connections. */
  closeIdle(): void {
    for (const connection of this.idle.splice(0)) connection.destroy();
  }

  /** Closes idle connections now and busy ones after their requests. */
  retire(): void {
    this.retired = true;
    this.closeIdle();
  }

  /** Opens a socket; with `Path.Relayed`, it may pass through a peer. */
  dial(path: Path, callback: DialCallback): void {
    switch (path) {
      case Path.Direct:
        this.dialer.dialDirectly(this.upstream, callback);
        return;
      case Path.Relayed:
        this.dialer.dial(this.upstream, callback);
        return;
    }
  }

  /** Creates a connection outside the idle list. */
  open(): Connection {
    return this.create((...args) => this.dialer.dial(...args));
  }

  /** Creates a connection outside the idle list, by the way of another one. */
  openLike({peer}: Connection): Connection {
    if (peer === undefined) return this.openDirectly();
    return this.create((upstream, callback) =>
      this.dialer.dialThrough(upstream, peer, callback),
    );
  }

  /** Creates a direct connection outside the idle list. */
  openDirectly(): Connection {
    return this.create((...args) => this.dialer.dialDirectly(...args));
  }

  private create(
    dial: (upstream: UpstreamAddress, callback: DialCallback) => void,
  ): Connection {
    this.opened++;
    return new Connection(this.upstream, this.dialer, dial, connection => {
      const index = this.idle.indexOf(connection);
      if (index < 0) return;
      this.idle.splice(index, 1);
      if (connection.closedBy !== Closing.Here) {
        this.idleEnds.note(connection.idleSince, this.timer.now());
      }
      connection.destroy();
    });
  }
}
