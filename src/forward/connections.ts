import type {Socket} from 'node:net';
import {buildConnector, Client, type Dispatcher} from 'undici';

/** Time in which a connection must be open, in ms. */
const CONNECT_TIMEOUT_MS = 800;
/**
 * Time before an upstream closes an idle connection in which it is not used
 * any more, in ms.
 */
const KEEP_ALIVE_MARGIN_MS = 1_500;
/** How long an idle connection is kept if the upstream doesn't say, in ms. */
const KEEP_ALIVE_MS = 3_000;

/** A connection to an upstream, for one request at a time. */
export class Connection {
  /** Whether it ended in an error rather than by a proper close. */
  reset = false;
  /** Whether an answer has arrived on it. */
  hasResponded = false;
  open = true;
  private readonly client: Client;

  constructor(
    origin: string,
    localAddress: string,
    private readonly closed: (connection: Connection) => void,
  ) {
    const connector = buildConnector({timeout: CONNECT_TIMEOUT_MS});
    this.client = new Client(origin, {
      connect: (options, callback) =>
        connector({...options, localAddress}, (...result) => {
          if (result[0] === null) this.watch(result[1]);
          callback(...result);
        }),
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    const end = () => {
      this.open = false;
      this.closed(this);
    };
    this.client.on('disconnect', end);
    this.client.on('connectionError', end);
  }

  dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): void {
    this.client.dispatch(options, handler);
  }

  destroy(): void {
    this.open = false;
    void this.client.destroy();
  }

  /**
   * The client takes what arrived before a reset for a whole answer if the
   * answer has no length, so resets are noted before it hears of them.
   */
  private watch(socket: Socket): void {
    socket.on('error', () => {
      this.reset = true;
    });
  }
}

/** The connections of one instance to one upstream. */
export class ConnectionPool {
  private readonly idle: Connection[] = [];
  private retired = false;
  /** Connections that were opened so far. */
  opened = 0;

  constructor(
    private readonly origin: string,
    private readonly localAddress: string,
  ) {}

  /** Takes the connection that was used last, or a new one. */
  acquire(): Connection {
    return this.idle.pop() ?? this.open();
  }

  /** Gives a connection back; only a `sound` one is used again. */
  release(connection: Connection, sound: boolean): void {
    if (sound && connection.open && !this.retired) this.idle.push(connection);
    else connection.destroy();
  }

  /** Closes idle connections now and the others after their requests. */
  retire(): void {
    this.retired = true;
    for (const connection of this.idle.splice(0)) connection.destroy();
  }

  /** Opens a connection that nothing was sent on yet. */
  open(): Connection {
    this.opened++;
    return new Connection(this.origin, this.localAddress, connection => {
      const index = this.idle.indexOf(connection);
      if (index < 0) return;
      this.idle.splice(index, 1);
      connection.destroy();
    });
  }
}
