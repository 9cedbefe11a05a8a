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
import {TrafficMeter, meteredConnector} from '../platform/index.js';
import {MAC_HEADER, type Credential} from './credential.js';
import {tlsClientOptions, tlsServerOptions, type TlsFiles} from './peertls.js';

/** Path at which peers take JSON-RPC requests. */
const RPC_PATH = '/rpc';
const BODY_LIMIT_BYTES = 8 * 1024 * 1024;
const CONNECTIONS_PER_PEER = 16;

/** Where a peer is reached. */
export interface PeerAddress {
  host: string;
  port: number;
}

/** Parses an address given as host:port. */
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
  /** The peer answered with an error. */
  | {type: 'peerRefused'; method: string; code: number; message: string};

/** Bytes moved between peers, for the control budget. */
export interface PeerUsage {
  calls: number;
  bytesOut: number;
  bytesIn: number;
}

/** A function a peer may call. It may throw only typed failures. */
export type PeerHandler = (params: unknown) => Promise<unknown>;

/** Serves JSON-RPC calls of authenticated peers over HTTP. */
export class PeerServer {
  private readonly rpc = new JSONRPCServer({errorListener: () => undefined});
  /** Counts the bytes of all connections. */
  readonly meter = new TrafficMeter();
  private readonly server: Server;

  /** Peers must show a certificate of the authority in `tls` if it is given. */
  constructor(
    private readonly credential: Credential,
    tls?: TlsFiles,
  ) {
    const answer = (message: IncomingMessage, response: ServerResponse) => {
      void this.answer(message, response);
    };
    this.server =
      tls === undefined
        ? createServer({noDelay: true}, answer)
        : createTlsServer({noDelay: true, ...tlsServerOptions(tls)}, answer);
    this.server.on('connection', (socket: Socket) => this.meter.track(socket));
  }

  /** Offers a method to peers. */
  handle(method: string, handler: PeerHandler): void {
    this.rpc.addMethod(method, handler);
  }

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
    });
  }

  private async answer(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await bounded(message);
    const code = message.headers[MAC_HEADER];
    const credential =
      body === undefined || typeof code !== 'string'
        ? undefined
        : this.credential.findMatch(body, code);
    if (
      body === undefined ||
      credential === undefined ||
      message.url !== RPC_PATH
    ) {
      response.writeHead(403).end();
      return;
    }
    const answer = await this.receive(body);
    const text = JSON.stringify(answer);
    response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
      [MAC_HEADER]: credential.sign(text),
    });
    response.end(text);
  }

  private async receive(body: Buffer): Promise<unknown> {
    try {
      const call = JSON.parse(body.toString('utf8')) as JSONRPCRequest;
      return await this.rpc.receive(call);
    } catch {
      return createJSONRPCErrorResponse(
        null,
        JSONRPCErrorCode.ParseError,
        'not a call',
      );
    }
  }
}

async function bounded(message: IncomingMessage): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of message as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > BODY_LIMIT_BYTES) return undefined;
      chunks.push(chunk);
    }
  } catch {
    return undefined;
  }
  return Buffer.concat(chunks);
}

/** Calls methods of peers. Connections are kept and bound to `localAddress`. */
export class PeerClient {
  readonly usage: PeerUsage = {calls: 0, bytesOut: 0, bytesIn: 0};
  /** Counts the bytes of all connections. */
  readonly meter = new TrafficMeter();
  private readonly agent: Agent;
  private readonly scheme: 'http' | 'https';
  private sequence = 0;

  constructor(
    private readonly credential: Credential,
    localAddress: string,
    tls?: TlsFiles,
  ) {
    this.scheme = tls === undefined ? 'http' : 'https';
    this.agent = new Agent({
      connections: CONNECTIONS_PER_PEER,
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
    const call = createJSONRPCRequest(++this.sequence, method, params);
    const body = JSON.stringify(call);
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
      const text = await response.body.text();
      this.usage.bytesIn += text.length;
      const code = String(response.headers[MAC_HEADER] ?? '');
      if (!this.credential.verify(text, code)) {
        const status = response.statusCode;
        return err(refused(method, status, 'not authenticated'));
      }
      return this.unpack(method, JSON.parse(text) as unknown);
    } catch (cause) {
      if (signal.aborted) return err({type: 'peerTimeout', method});
      return err({type: 'peerUnreachable', method, cause: String(cause)});
    }
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private unpack(
    method: string,
    answer: unknown,
  ): Result<unknown, PeerFailure> {
    if (!isJSONRPCResponse(answer)) {
      return err(refused(method, JSONRPCErrorCode.ParseError, 'no response'));
    }
    if (answer.error == null) return ok(answer.result as unknown);
    return err(refused(method, answer.error.code, answer.error.message));
  }
}

function refused(method: string, code: number, message: string): PeerFailure {
  return {type: 'peerRefused', method, code, message};
}
