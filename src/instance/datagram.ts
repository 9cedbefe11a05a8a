import {createSocket, type RemoteInfo, type Socket} from 'node:dgram';
import {
  createJSONRPCNotification,
  createJSONRPCRequest,
  isJSONRPCResponse,
  JSONRPCServer,
  type JSONRPCRequest,
} from 'json-rpc-2.0';
import {err, ok, type Result} from 'neverthrow';
import type {Timer} from '../timer/index.js';
import {MAC_LENGTH, type Credential} from './credential.js';
import type {PeerAddress, PeerFailure} from './peerrpc.js';

/**
 * The first call id is random below this, so that a late response to an earlier
 * process at the same address does not match a call of this one.
 */
const MAX_FIRST_CALL_ID = 1_000_000;
/** Bytes of the UDP and IPv4 headers of a datagram, included in the usage. */
export const DATAGRAM_HEADER_BYTES = 28;

/** Datagrams sent and received; bytes include the UDP and IP headers. */
export interface DatagramUsage {
  sent: number;
  received: number;
  bytesOut: number;
  bytesIn: number;
  /** Received datagrams that were malformed or had no valid code. */
  refused: number;
}

/** Implements a method that peers call by datagram. */
export type DatagramHandler = (params: unknown) => unknown;

/**
 * JSON-RPC over UDP. Every datagram is an authentication code followed by one
 * message. A datagram without a valid code is counted and dropped, without a
 * response.
 */
export class DatagramPort {
  readonly usage: DatagramUsage = {
    sent: 0,
    received: 0,
    bytesOut: 0,
    bytesIn: 0,
    refused: 0,
  };
  private socket?: Socket;
  private readonly rpc = new JSONRPCServer({errorListener: () => undefined});
  private readonly pending = new Map<number, (result: unknown) => void>();
  private lastCallId = Math.floor(Math.random() * MAX_FIRST_CALL_ID);

  constructor(
    private readonly credential: Credential,
    private readonly timer: Timer,
  ) {}

  /** Registers a method that peers can call. */
  handle(method: string, handler: DatagramHandler): void {
    this.rpc.addMethod(method, handler);
  }

  /** Binds the UDP port. Returns false if that fails, as when it is in use. */
  async bind(host: string, port: number): Promise<boolean> {
    const socket = createSocket('udp4');
    const bound = await new Promise<boolean>(resolve => {
      socket.once('error', () => resolve(false));
      socket.bind(port, host, () => resolve(true));
    });
    if (!bound) return false;
    socket.on('error', () => undefined);
    socket.on('message', (datagram, from) => this.receive(datagram, from));
    this.socket = socket;
    return true;
  }

  /**
   * Makes one attempt to call `method` of a peer. A datagram may be lost, and
   * an error response is ignored, so the only failure is a time-out.
   */
  async call(
    peer: PeerAddress,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, PeerFailure>> {
    const id = ++this.lastCallId;
    return new Promise(resolve => {
      const timeout = this.timer.after(timeoutMs, () => {
        this.pending.delete(id);
        resolve(err({type: 'peerTimeout', method}));
      });
      this.pending.set(id, result => {
        timeout.end();
        this.pending.delete(id);
        resolve(ok(result));
      });
      this.send(peer, createJSONRPCRequest(id, method, params));
    });
  }

  /** Sends a notification, which has no response and may be lost. */
  notify(peer: PeerAddress, method: string, params: unknown): void {
    this.send(peer, createJSONRPCNotification(method, params));
  }

  /** Sends a notification to several peers, which is encoded only once. */
  broadcast(
    peers: Iterable<PeerAddress>,
    method: string,
    params: unknown,
  ): void {
    const datagram = encode(
      createJSONRPCNotification(method, params),
      this.credential,
    );
    for (const peer of peers) this.transmit(peer, datagram);
  }

  close(): void {
    this.socket?.close();
    delete this.socket;
  }

  private send(
    peer: PeerAddress,
    message: unknown,
    credential = this.credential,
  ): void {
    this.transmit(peer, encode(message, credential));
  }

  private transmit(peer: PeerAddress, datagram: Buffer): void {
    this.usage.sent++;
    this.usage.bytesOut += datagram.length + DATAGRAM_HEADER_BYTES;
    // A send error is handled like a lost datagram: the caller times out.
    this.socket?.send(datagram, peer.port, peer.host, () => undefined);
  }

  private receive(datagram: Buffer, from: RemoteInfo): void {
    this.usage.received++;
    this.usage.bytesIn += datagram.length + DATAGRAM_HEADER_BYTES;
    const mac = datagram.subarray(0, MAC_LENGTH).toString('latin1');
    const body = datagram.subarray(MAC_LENGTH);
    const credential = this.credential.findMatch(body, mac);
    const message = credential === undefined ? undefined : parseJson(body);
    if (credential === undefined || message === undefined) {
      this.usage.refused++;
      return;
    }
    if (isJSONRPCResponse(message)) {
      if (message.error === undefined) {
        this.pending.get(Number(message.id))?.(message.result);
      }
      return;
    }
    void this.answer(message as JSONRPCRequest, from, credential);
  }

  private async answer(
    call: JSONRPCRequest,
    from: RemoteInfo,
    credential: Credential,
  ): Promise<void> {
    const response = await this.rpc.receive(call);
    if (response === null) return;
    this.send({host: from.address, port: from.port}, response, credential);
  }
}

/** A datagram: the authentication code of a message, then the message. */
function encode(message: unknown, credential: Credential): Buffer {
  const text = JSON.stringify(message);
  return Buffer.from(credential.sign(text) + text);
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8')) as unknown;
  } catch {
    return undefined;
  }
}
