import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** A connection that has carried a request. */
interface CallerConnection {
  /** Responses that are not sent completely. */
  responses: Set<ServerResponse>;
  /** Bytes received when it became idle; absent while it isn't. */
  idleBytes?: number;
}

/** Connections of callers that have carried a request. */
export class CallerConnections {
  private readonly connections = new Map<Socket, CallerConnection>();

  /** Whether every response is sent, as far as its caller is connected. */
  get areAllSent(): boolean {
    for (const {responses} of this.connections.values()) {
      if (responses.size > 0) return false;
    }
    return true;
  }

  /**
   * Follows the response to a request until it is sent. There is none if the
   * connection was being closed when the request arrived.
   */
  add(message: IncomingMessage, response: ServerResponse): void {
    const {socket} = message;
    if (!socket.writable) return;
    const connection = this.connectionOf(socket);
    delete connection.idleBytes;
    connection.responses.add(response);
    response.once('close', () => {
      connection.responses.delete(response);
      if (connection.responses.size > 0 || !message.complete) return;
      connection.idleBytes = socket.bytesRead;
    });
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
    const connection = {responses: new Set<ServerResponse>()};
    this.connections.set(socket, connection);
    socket.once('close', () => this.connections.delete(socket));
    return connection;
  }
}
