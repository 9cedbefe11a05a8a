import type {Socket} from 'node:net';
import {buildConnector, Client, type Dispatcher} from 'undici';

/** Longest time to open a connection, in ms. */
const CONNECT_TIMEOUT_MS = 800;
/**
 * An idle connection is no longer used this long before the upstream's
 * announced keep-alive time-out, in ms.
 */
const KEEP_ALIVE_MARGIN_MS = 1_500;
/** Keep-alive time when the upstream announces none, in ms. */
const DEFAULT_KEEP_ALIVE_MS = 3_000;
/**
 * Most bytes that are read without a head or bytes of a body among them. Bytes
 * of a body whose reading is paused stay far below.
 */
const BARREN_BYTES_LIMIT = 256 * 1024;

/** A connection to an upstream that carries one request at a time. */
export class Connection {
  /** Whether the socket failed rather than being closed in order. */
  reset = false;
  /** Whether it has carried a response. */
  hasResponded = false;
  open = true;
  /** Whether the socket may be opened anew for a request once it was closed. */
  reopens = true;
  /** Start of the process at the other end, in Unix ms, if it reported that. */
  processStartedAt?: number;
  private readonly client: Client;
  /** Whether a part of a response came since bytes were last read. */
  private hasProgressed = false;
  private hasConnected = false;

  constructor(
    origin: string,
    localAddress: string,
    private readonly onClose: (connection: Connection) => void,
  ) {
    const connector = buildConnector({timeout: CONNECT_TIMEOUT_MS});
    this.client = new Client(origin, {
      connect: (options, callback) => {
        if (this.hasConnected && !this.reopens) {
          callback(new ClosedMeanwhile(), null);
          return;
        }
        connector({...options, localAddress}, (...result) => {
          if (result[0] === null) {
            this.hasConnected = true;
            this.watchForReset(result[1]);
            this.watchForBarrenBytes(result[1]);
          }
          callback(...result);
        });
      },
      pipelining: 1,
      keepAliveTimeout: DEFAULT_KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    const onClosed = () => {
      this.open = false;
      this.onClose(this);
    };
    this.client.on('disconnect', onClosed);
    this.client.on('connectionError', onClosed);
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

  /** Notes that a head or bytes of a body were received. */
  noteProgress(): void {
    this.hasProgressed = true;
  }

  /**
   * Closes the connection on bytes without end that the HTTP client neither
   * keeps nor passes on, such as interim responses or a chunk's extension.
   */
  private watchForBarrenBytes(socket: Socket): void {
    let progressAt = 0;
    socket.on('readable', () => {
      if (this.hasProgressed) progressAt = socket.bytesRead;
      this.hasProgressed = false;
      if (socket.bytesRead - progressAt > BARREN_BYTES_LIMIT) {
        socket.destroy(new BarrenBytes());
      }
    });
  }

  /**
   * For a response without a length, the HTTP client takes the bytes before a
   * reset for the complete body, so resets are recorded from the socket.
   */
  private watchForReset(socket: Socket): void {
    socket.on('error', () => {
      this.reset = true;
    });
    // A reset that is read together with the last bytes ends the socket like a
    // close. Only a socket that was reset has no remote address then.
    socket.on('end', () => {
      if (socket.remoteAddress === undefined) this.reset = true;
    });
  }
}

/** The upstream sent too many bytes that belong to no response. */
class BarrenBytes extends Error {
  override name = 'BarrenBytes';
  override message = 'too many bytes outside of a head or body';
}

/** The socket was closed, and another one may lead to another process. */
class ClosedMeanwhile extends Error {
  override name = 'ClosedMeanwhile';
  override message = 'the connection was closed before the request was sent';
}

/** Idle and new connections of this instance to one upstream. */
export class ConnectionPool {
  private readonly idle: Connection[] = [];
  private retired = false;
  /** Number of connections opened so far. */
  opened = 0;

  constructor(
    private readonly origin: string,
    readonly localAddress: string,
  ) {}

  /** Returns the most recently used idle connection, or a new one. */
  acquire(): Connection {
    return this.idle.pop() ?? this.open();
  }

  /** Returns a connection to the pool; it is destroyed unless `intact`. */
  release(connection: Connection, intact: boolean): void {
    if (intact && connection.open && !this.retired) this.idle.push(connection);
    else connection.destroy();
  }

  /** Closes idle connections now and busy ones after their requests. */
  retire(): void {
    this.retired = true;
    for (const connection of this.idle.splice(0)) connection.destroy();
  }

  /** Creates a connection outside the idle list. */
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
