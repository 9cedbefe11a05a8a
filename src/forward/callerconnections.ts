import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {bytesOf} from './body.js';

/** Most bytes of the heads that wait on a connection. */
const MAX_WAITING_BYTES = 64 * 1024;

/** A connection that has carried a request. */
interface CallerConnection {
  /** Responses that are not sent completely. */
  responses: Set<ServerResponse>;
  /** Start the requests that wait for earlier ones, in order. */
  waiting: Array<{start: () => void; headBytes: number}>;
  /** Bytes received when it became idle; absent while it isn't. */
  idleBytes?: number;
}

/** Connections of callers that have carried a request. */
export class CallerConnections {
  private readonly connections = new Map<Socket, CallerConnection>();

  /** `maxAhead`: requests of a connection that may wait for earlier ones. */
  constructor(private readonly maxAhead: number) {}

  /** Whether every response is sent, as far as its caller is connected. */
  get areAllSent(): boolean {
    for (const {responses} of this.connections.values()) {
      if (responses.size > 0) return false;
    }
    return true;
  }

  /** Whether a connection may send no further request ahead. */
  isFull(socket: Socket): boolean {
    const {waiting = []} = this.connections.get(socket) ?? {};
    const bytes = waiting.reduce((sum, {headBytes}) => sum + headBytes, 0);
    return waiting.length >= this.maxAhead || bytes > MAX_WAITING_BYTES;
  }

  /**
   * Follows the response to a request until it is sent. There is none if the
   * connection was being closed when the request arrived. Resolves when the
   * responses to earlier requests are sent, or the connection is closed.
   */
  add(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const {socket} = message;
    if (!socket.writable) return Promise.resolve();
    const connection = this.connectionOf(socket);
    const {responses, waiting} = connection;
    delete connection.idleBytes;
    responses.add(response);
    response.once('close', () => {
      responses.delete(response);
      waiting.shift()?.start();
      if (responses.size > 0 || !message.complete) return;
      connection.idleBytes = socket.bytesRead;
    });
    if (responses.size === 1) return Promise.resolve();
    const headBytes = bytesOf(message.rawHeaders);
    return new Promise(start => waiting.push({start, headBytes}));
  }

  /** Whether no later request was read on the connection of a response. */
  isNewest(socket: Socket, response: ServerResponse): boolean {
    const responses = this.connections.get(socket)?.responses ?? [];
    return [...responses].at(-1) === response;
  }

  /** Closes the connections that have received nothing since they are idle. */
  closeIdle(): void {
    for (const [socket, {idleBytes}] of this.connections) {
      if (socket.bytesRead === idleBytes) socket.destroy();
    }
  }

  private connectionOf(socket: Socket): CallerConnection {
    const known = this.connections.get(socket);
    if (known !== undefined) return known;
    const connection: CallerConnection = {responses: new Set(), waiting: []};
    this.connections.set(socket, connection);
    socket.once('close', () => {
      this.connections.delete(socket);
      for (const {start} of connection.waiting.splice(0)) start();
    });
    return connection;
  }
}
