import type {Socket} from 'node:net';
import {Client, type Dispatcher} from 'undici';
import {
  LATE_RESET_MS,
  LONG_REQUEST_BYTES,
  Path,
  RelayFailure,
  type DialCallback,
  type RelayPeer,
  type UpstreamAddress,
  type UpstreamDialer,
} from '../relay/index.js';
import type {Timer} from '../timer/index.js';
import {StatusGuard} from './statusguard.js';
import {boundUnreadBytes} from './unreadbytes.js';

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

/** What closed a connection. */
export enum Closing {
  /** This instance, or the HTTP client since it was idle. */
  Here = 'here',
  /** The other end, in order. */
  OtherEnd = 'otherEnd',
  /** A reset, or another error; it may not have opened. */
  Failure = 'failure',
}

/** A connection to an upstream that carries one request at a time. */
export class Connection {
  /** Whether the socket failed rather than being closed in order. */
  reset = false;
  /** Whether it has carried a response. */
  hasResponded = false;
  open = true;
  /** Whether the socket may be opened anew for a request once it was closed. */
  reopens = true;
  /** By which way it leads to the upstream, once it is open. */
  path = Path.Direct;
  /** The instance that relays it, once it is open; absent if none does. */
  peer?: RelayPeer;
  /** Resolves when it is closed, by either end. */
  readonly closed: Promise<void>;
  /** Since when it carries nothing, in monotonic ms. */
  idleSince = -Infinity;
  /** What closed it; absent while it is open. */
  closedBy?: Closing;
  /** Start of the process at the other end, in Unix ms, if it reported that. */
  processStartedAt?: number;
  /** Whether its socket was ever open. */
  hasConnected = false;
  private readonly client: Client;
  /** The response whose reading is paused. */
  private paused?: Pick<Dispatcher.DispatchController, 'resume'>;
  private socket?: Socket;
  /** Whether the last request is too long to be taken by a system at once. */
  private isRequestLong = false;
  /** Whether a part of a response came since bytes were last read. */
  private hasProgressed = false;

  constructor(
    private readonly upstream: UpstreamAddress,
    private readonly dialer: UpstreamDialer,
    /** Opens its socket. */
    dial: (upstream: UpstreamAddress, callback: DialCallback) => void,
    private readonly onClose: (connection: Connection) => void,
  ) {
    this.client = new Client(`http://${upstream.host}:${upstream.port}`, {
      connect: (_options, callback) => {
        if (this.hasConnected && !this.reopens) {
          callback(new ClosedMeanwhile(), null);
          return;
        }
        dial(upstream, result => {
          if (result.isErr()) {
            this.path = pathOf(result.error);
            callback(result.error, null);
            return;
          }
          const {socket, path, peer} = result.value;
          this.path = path;
          if (peer !== undefined) this.peer = peer;
          this.socket = socket;
          this.hasConnected = true;
          // A socket that is opened anew may lead to another process.
          delete this.processStartedAt;
          this.setHalfOpen(socket);
          boundUnreadBytes(socket);
          this.watchForReset(socket);
          this.watchForBarrenBytes(socket);
          callback(null, socket);
        });
      },
      pipelining: 1,
      keepAliveTimeout: DEFAULT_KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    let resolveClosed = () => {};
    this.closed = new Promise(resolve => (resolveClosed = resolve));
    const onClosed = (closing: Closing) => {
      this.closedBy ??= this.open ? closing : Closing.Here;
      this.open = false;
      resolveClosed();
      this.onClose(this);
    };
    this.client.on('disconnect', (_origin, _targets, error) =>
      onClosed(closingOf(error)),
    );
    this.client.on('connectionError', () => onClosed(Closing.Failure));
  }

  /** Whether its socket is open. */
  get isConnected(): boolean {
    return this.hasConnected && this.open;
  }

  /** Whether a part of the request waits here, as the other end takes no more. */
  get hasUnsentBytes(): boolean {
    return this.socket !== undefined && this.socket.writableLength > 0;
  }

  dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): void {
    const {body} = options;
    this.isRequestLong =
      Buffer.isBuffer(body) && body.length > LONG_REQUEST_BYTES;
    if (this.socket !== undefined) this.setHalfOpen(this.socket);
    this.client.dispatch(options, new StatusGuard(handler));
  }

  /**
   * Whether a reset may follow the end of a response in order, as the other end
   * may not have read the whole request. A peer awaits that itself.
   */
  get mayBeResetLate(): boolean {
    return this.isRequestLong && this.path === Path.Direct;
  }

  /**
   * Keeps the socket open for a while after its other end has closed it in
   * order, though the HTTP client is done with it; resolves to whether it was
   * reset meanwhile.
   */
  async awaitReset(timer: Pick<Timer, 'sleep'>): Promise<boolean> {
    const {socket} = this;
    if (socket === undefined) return true;
    let cause: NodeJS.ErrnoException | undefined;
    socket.destroy = (error?: NodeJS.ErrnoException) => {
      cause ??= error;
      return socket;
    };
    await timer.sleep(LATE_RESET_MS);
    Reflect.deleteProperty(socket, 'destroy');
    const isFailure = cause?.syscall !== undefined;
    const wasReset = isFailure || socket.remoteAddress === undefined;
    socket.destroy(cause);
    return wasReset;
  }

  /** Stops the reading of the response until [[resume]]. */
  pause(controller: Dispatcher.DispatchController): void {
    this.paused = controller;
    controller.pause();
  }

  resume(): void {
    const {paused} = this;
    delete this.paused;
    paused?.resume();
  }

  destroy(): void {
    this.open = false;
    void this.client.destroy();
  }

  /**
   * Keeps a socket half-open after its other end has closed it, if a reset may
   * follow: one that both ends have closed looks like one that was reset.
   */
  private setHalfOpen(socket: Socket): void {
    socket.allowHalfOpen = this.mayBeResetLate;
  }

  /** Notes that a head or bytes of a body were received. */
  noteProgress(): void {
    this.hasProgressed = true;
    if (this.path === Path.Direct) this.dialer.noteBytes(this.upstream);
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
    const {path} = this;
    socket.on('error', (error: NodeJS.ErrnoException) => {
      this.reset = true;
      if (path === Path.Direct && this.isLinkFailure(error)) {
        this.dialer.noteFailure(this.upstream);
      }
      // On a reset, the HTTP client may finish its parser, which throws while
      // the parser is paused. Any other code fails the response.
      if (this.paused !== undefined && error.code === RESET_CODE) {
        error.code = PAUSED_RESET_CODE;
      }
    });
    // A reset that is read together with the last bytes ends the socket like a
    // close. Only a socket that was reset has no remote address then. Once read,
    // the address is kept, so that a later reset would not be seen.
    socket.on('end', () => {
      if (!this.mayBeResetLate && socket.remoteAddress === undefined) {
        this.reset = true;
      }
      // The HTTP client finishes its parser next, which throws while the parser
      // is paused. All bytes have been read at the end.
      this.resume();
    });
  }

  /**
   * Whether the error that ended the socket may be due to the link. The HTTP
   * client ends sockets that were closed in order by errors of its own.
   */
  private isLinkFailure(error: NodeJS.ErrnoException): boolean {
    if (error.syscall !== undefined) return true;
    return error.code === CLOSED_CODE && this.client.stats.running > 0;
  }
}

/** Code of the system's error for a reset. */
const RESET_CODE = 'ECONNRESET';
/** Takes its place while the response is paused. */
const PAUSED_RESET_CODE = 'ERR_RESET_WHILE_PAUSED';

/** Code of the HTTP client's error where the other end closed in order. */
const CLOSED_CODE = 'UND_ERR_SOCKET';

/** Closings by the error codes of the HTTP client; others are failures. */
const CLOSINGS = new Map([
  ['UND_ERR_INFO', Closing.Here],
  [CLOSED_CODE, Closing.OtherEnd],
]);

function closingOf({code = ''}: NodeJS.ErrnoException): Closing {
  return CLOSINGS.get(code) ?? Closing.Failure;
}

/** By which way a connection was tried that could not be opened. */
function pathOf(error: Error): Path {
  return error instanceof RelayFailure && error.code !== ''
    ? Path.Relayed
    : Path.Direct;
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
