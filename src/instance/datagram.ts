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

/** First ids of calls differ, so that late answers meet no new call. */
const MAX_FIRST_ID = 1_000_000;
/** Bytes of the headers of UDP and IP, which count against the budget. */
export const DATAGRAM_HEADER_BYTES = 28;

/** Datagrams moved, with their headers. */
export interface DatagramUsage {
  sent: number;
  received: number;
  bytesOut: number;
  bytesIn: number;
  /** Datagrams that were not authentic. */
  refused: number;
}

/** A function that peers call by datagram. */
export type DatagramHandler = (params: unknown) => unknown;

/**
 * JSON-RPC over UDP. Every datagram is one message behind an authentication
 * code; a datagram without a valid code is counted and dropped unanswered.
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
  private sequence = Math.floor(Math.random() * MAX_FIRST_ID);

  constructor(
    private readonly credential: Credential,
    private readonly timer: Timer,
  ) {}

  /** Offers a method to peers. */
  handle(method: string, handler: DatagramHandler): void {
    this.rpc.addMethod(method, handler);
  }

  /** Binds the port. Returns whether it was free. */
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

  /** Makes one attempt to call `method` of a peer. */
  async call(
    peer: PeerAddress,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, PeerFailure>> {
    const id = ++this.sequence;
    return new Promise(resolve => {
      const limit = this.timer.after(timeoutMs, () => {
        this.pending.delete(id);
        resolve(err({type: 'peerTimeout', method}));
      });
      this.pending.set(id, result => {
        limit.end();
        this.pending.delete(id);
        resolve(ok(result));
      });
      this.send(peer, createJSONRPCRequest(id, method, params));
    });
  }

  /** Sends a message that is not answered. */
  notify(peer: PeerAddress, method: string, params: unknown): void {
    this.send(peer, createJSONRPCNotification(method, params));
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
    const text = JSON.stringify(message);
    const datagram = Buffer.from(credential.sign(text) + text);
    this.usage.sent++;
    this.usage.bytesOut += datagram.length + DATAGRAM_HEADER_BYTES;
    // A datagram that cannot be sent is a datagram lost.
    this.socket?.send(datagram, peer.port, peer.host, () => undefined);
  }

  private receive(datagram: Buffer, from: RemoteInfo): void {
    this.usage.received++;
    this.usage.bytesIn += datagram.length + DATAGRAM_HEADER_BYTES;
    const code = datagram.subarray(0, MAC_LENGTH).toString('latin1');
    const body = datagram.subarray(MAC_LENGTH);
    const credential = this.credential.findMatch(body, code);
    const message = credential === undefined ? undefined : parse(body);
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
    const answer = await this.rpc.receive(call);
    if (answer === null) return;
    this.send({host: from.address, port: from.port}, answer, credential);
  }
}

function parse(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8')) as unknown;
  } catch {
    return undefined;
  }
}
