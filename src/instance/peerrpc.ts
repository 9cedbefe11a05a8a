import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {createServer as createTlsServer} from 'node:https';
import type {AddressInfo, Socket} from 'node:net';
import {
  createJSONRPCErrorResponse,
  createJSONRPCRequest,
  isJSONRPCResponse,
  JSONRPCErrorCode,
  JSONRPCServer,
  type JSONRPCRequest,
} from 'json-rpc-2.0';
import {err, ok, type Result} from 'neverthrow';
import {Agent, request} from 'undici';
import {ByteBudget} from '../forward/bytebudget.js';
import {TrafficMeter, meteredConnector} from '../platform/index.js';
import {receiveBody} from './callbody.js';
import {MAC_HEADER, MAC_LENGTH, type Credential} from './credential.js';
import {tlsClientOptions, tlsServerOptions, type TlsFiles} from './peertls.js';
import {SystemTimer, type Timer} from '../timer/index.js';
import {readBounded} from '../upstream/boundedbody.js';
import {serveTunnel, type TunnelHandler} from './peertunnel.js';

/** HTTP path of the JSON-RPC endpoint. */
const RPC_PATH = '/rpc';
const MAX_BODY_BYTES = 8 * 1024 * 1024;
/** Memory for all bodies whose callers aren't authenticated yet, in bytes. */
const UNAUTHENTICATED_BYTES = 2 * MAX_BODY_BYTES;
const MAX_CONNECTIONS_PER_PEER = 16;

/** Address at which a peer is reached, over TCP and UDP. */
export interface PeerAddress {
  host: string;
  port: number;
}

/** Parses an address of the form host:port; the port is not checked. */
export function parsePeerAddress(text: string): PeerAddress {
  const colon = text.lastIndexOf(':');
  return {host: text.slice(0, colon), port: Number(text.slice(colon + 1))};
}

/** Why a call to a peer failed. */
export type PeerFailure =
  /** No answer in time; the call may have taken effect. */
  | {type: 'peerTimeout'; method: string}
  /** The connection failed; the call may have taken effect. */
  | {type: 'peerUnreachable'; method: string; cause: string}
  /**
   * The peer returned a JSON-RPC error, or its reply was malformed or not
   * authenticated. `code` is a JSON-RPC error code or an HTTP status.
   */
  | {type: 'peerRefused'; method: string; code: number; message: string};

/** Calls made to peers, with the bytes of their bodies. */
export interface PeerUsage {
  calls: number;
  bytesOut: number;
  bytesIn: number;
}

/** Implements a method that peers call. It may throw only typed failures. */
export type PeerHandler = (params: unknown) => Promise<unknown>;

/** Serves JSON-RPC calls from authenticated peers over HTTP or HTTPS. */
export class PeerServer {
  private readonly rpc = new JSONRPCServer({errorListener: () => undefined});
  /** Counts the bytes of all connections. */
  readonly meter = new TrafficMeter();
  private readonly server: Server;
  /** Connections of peers that have become tunnels, which the server no longer closes. */
  private readonly tunnels = new Set<Socket>();
  /** TCP connections by the address of their peer; TLS wraps them. */
  private readonly connections = new Map<string, Socket>();

  /**
   * With `tls`, peers need a client certificate signed by its authority.
   * `bodies`: memory for bodies whose callers aren't authenticated yet.
   */
  constructor(
    private readonly credential: Credential,
    tls?: TlsFiles,
    private readonly bodies = new ByteBudget(
      UNAUTHENTICATED_BYTES,
      new SystemTimer(),
    ),
  ) {
    const onRequest = (message: IncomingMessage, response: ServerResponse) => {
      void this.handleRequest(message, response);
    };
    this.server =
      tls === undefined
        ? createServer({noDelay: true}, onRequest)
        : createTlsServer({noDelay: true, ...tlsServerOptions(tls)}, onRequest);
    this.server.on('connection', (socket: Socket) => {
      this.meter.track(socket);
      this.trackConnection(socket);
    });
  }

  /** Registers a method that peers can call. */
  handle(method: string, handler: PeerHandler): void {
    this.rpc.addMethod(method, handler);
  }

  /** Opens connections to upstreams for peers; without, they are refused. */
  handleTunnels(handler: TunnelHandler, timer: Pick<Timer, 'sleep'>): void {
    this.server.on(
      'connect',
      (message: IncomingMessage, socket: Socket, head: Buffer) => {
        this.tunnels.add(socket);
        socket.once('close', () => this.tunnels.delete(socket));
        const connection = this.connections.get(peerOf(socket)) ?? socket;
        serveTunnel(
          this.credential,
          handler,
          message,
          socket,
          head,
          timer,
          // A TLS socket can't be reset itself.
          () => connection.resetAndDestroy(),
        ).catch(() => socket.destroy());
      },
    );
  }

  /** Starts listening and returns the port. */
  async listen(host: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    return (this.server.address() as AddressInfo).port;
  }

  async close(): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
      for (const socket of this.tunnels) socket.destroy();
    });
  }

  private trackConnection(socket: Socket): void {
    const peer = peerOf(socket);
    this.connections.set(peer, socket);
    socket.once('close', () => {
      if (this.connections.get(peer) === socket) this.connections.delete(peer);
    });
  }

  private async handleRequest(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const mac = message.headers[MAC_HEADER];
    if (
      message.url !== RPC_PATH ||
      typeof mac !== 'string' ||
      mac.length !== MAC_LENGTH
    ) {
      refuse(message, response, 403);
      return;
    }
    const received = await receiveBody(message, MAX_BODY_BYTES, this.bodies);
    if (received.isErr()) {
      refuse(message, response, received.error);
      return;
    }
    const body = received.value;
    const credential = this.credential.findMatch(body, mac);
    if (credential === undefined) {
      response.writeHead(403).end();
      return;
    }
    const rpcResponse = await this.dispatch(body);
    const text = JSON.stringify(rpcResponse);
    response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
      [MAC_HEADER]: credential.sign(text),
    });
    response.end(text);
  }

  private async dispatch(body: Buffer): Promise<unknown> {
    try {
      const rpcRequest = JSON.parse(body.toString('utf8')) as JSONRPCRequest;
      return await this.rpc.receive(rpcRequest);
    } catch {
      return createJSONRPCErrorResponse(
        null,
        JSONRPCErrorCode.ParseError,
        'not a call',
      );
    }
  }
}

function peerOf({remoteAddress, remotePort}: Socket): string {
  return `${remoteAddress}:${remotePort}`;
}

/** Refuses a call without the rest of its body, which closes the connection. */
function refuse(
  message: IncomingMessage,
  response: ServerResponse,
  status: number,
): void {
  message.resume();
  response.writeHead(status, {connection: 'close'}).end();
}

/**
 * Calls methods of peers over kept-alive connections, which are opened from
 * `localAddress`.
 */
export class PeerClient {
  readonly usage: PeerUsage = {calls: 0, bytesOut: 0, bytesIn: 0};
  /** Counts the bytes of all connections. */
  readonly meter = new TrafficMeter();
  private readonly agent: Agent;
  private readonly scheme: 'http' | 'https';
  private lastCallId = 0;

  constructor(
    private readonly credential: Credential,
    localAddress: string,
    tls?: TlsFiles,
  ) {
    this.scheme = tls === undefined ? 'http' : 'https';
    this.agent = new Agent({
      connections: MAX_CONNECTIONS_PER_PEER,
      connect: meteredConnector(
        this.meter,
        tls === undefined ? {} : tlsClientOptions(tls),
      ),
      localAddress,
    });
  }

  /** Makes one attempt to call `method`; the caller decides on retries. */
  async call(
    peer: PeerAddress,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, PeerFailure>> {
    const rpcRequest = createJSONRPCRequest(++this.lastCallId, method, params);
    const body = JSON.stringify(rpcRequest);
    this.usage.calls++;
    this.usage.bytesOut += body.length;
    const signal = AbortSignal.timeout(timeoutMs);
    try {
      const response = await request(
        `${this.scheme}://${peer.host}:${peer.port}${RPC_PATH}`,
        {
          method: 'POST',
          headers: {[MAC_HEADER]: this.credential.sign(body)},
          body,
          signal,
          dispatcher: this.agent,
        },
      );
      const reply = await readBounded(response.body, MAX_BODY_BYTES);
      const text = reply.toString('utf8');
      this.usage.bytesIn += text.length;
      const mac = String(response.headers[MAC_HEADER] ?? '');
      if (!this.credential.verify(text, mac)) {
        const status = response.statusCode;
        return err(
          refusedFailure(
            method,
            status,
            'reply has no valid authentication code',
          ),
        );
      }
      return this.unpackResponse(method, JSON.parse(text) as unknown);
    } catch (cause) {
      if (signal.aborted) return err({type: 'peerTimeout', method});
      return err({type: 'peerUnreachable', method, cause: String(cause)});
    }
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private unpackResponse(
    method: string,
    answer: unknown,
  ): Result<unknown, PeerFailure> {
    if (!isJSONRPCResponse(answer)) {
      return err(
        refusedFailure(
          method,
          JSONRPCErrorCode.ParseError,
          'reply is not a JSON-RPC response',
        ),
      );
    }
    if (answer.error == null) return ok(answer.result as unknown);
    return err(refusedFailure(method, answer.error.code, answer.error.message));
  }
}

function refusedFailure(
  method: string,
  code: number,
  message: string,
): PeerFailure {
  return {type: 'peerRefused', method, code, message};
}
