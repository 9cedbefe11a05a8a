import {request as httpRequest, type IncomingMessage} from 'node:http';
import {request as httpsRequest} from 'node:https';
import type {Socket} from 'node:net';
import {err, ok, type Result} from 'neverthrow';
import {
  joinSockets,
  type RelayPeer,
  type TunnelFailure,
  type TunnelReply,
  type Tunnels,
  type UpstreamAddress,
} from '../relay/index.js';
import type {Timer} from '../timer/index.js';
import {MAC_HEADER, type Credential} from './credential.js';
import {tlsClientOptions, type TlsFiles} from './peertls.js';

/** Header with the error code of a connection that could not be opened. */
const CODE_HEADER = 'gypsumcourse-error';
/** Time without any bytes after which a tunnel is closed, in ms. */
const IDLE_LIMIT_MS = 120_000;

/** Opens a connection to the upstream at an address. */
export type TunnelHandler = (
  host: string,
  port: number,
) => Promise<TunnelReply>;

/** The signed part of the request for a tunnel. */
function signedText(authority: string): string {
  return `CONNECT ${authority}`;
}

/**
 * Serves a CONNECT request (RFC 9110, section 9.3.6) of a peer. `head`: bytes
 * that came behind it; `reset` resets the TCP connection that carries it.
 */
export async function serveTunnel(
  credential: Credential,
  handler: TunnelHandler,
  {url = '', headers}: Pick<IncomingMessage, 'url' | 'headers'>,
  socket: Socket,
  head: Buffer,
  timer: Pick<Timer, 'sleep'>,
  reset: () => void,
): Promise<void> {
  socket.on('error', () => undefined);
  const mac = headers[MAC_HEADER];
  if (typeof mac !== 'string' || !credential.verify(signedText(url), mac)) {
    refuse(socket, '403 Forbidden');
    return;
  }
  const colon = url.lastIndexOf(':');
  const reply = await handler(
    url.slice(0, colon),
    Number(url.slice(colon + 1)),
  );
  switch (reply.type) {
    case 'refused':
      refuse(socket, '503 Service Unavailable');
      return;
    case 'failed':
      refuse(socket, '502 Bad Gateway', `${CODE_HEADER}: ${reply.code}\r\n`);
      return;
    case 'opened':
      reply.socket.on('error', () => undefined);
      if (socket.destroyed) {
        reply.socket.destroy();
        return;
      }
      socket.setNoDelay(true);
      socket.setTimeout(IDLE_LIMIT_MS, () => socket.destroy());
      socket.write('HTTP/1.1 200 Connection Established\r\n\r\n');
      if (head.length > 0) reply.socket.write(head);
      joinSockets(socket, reply.socket, timer, reset);
  }
}

function refuse(socket: Socket, status: string, headers = ''): void {
  socket.end(`HTTP/1.1 ${status}\r\n${headers}content-length: 0\r\n\r\n`);
}

/** Opens tunnels through peers, from `localAddress`. */
export class PeerTunnels implements Tunnels {
  constructor(
    private readonly credential: Credential,
    private readonly localAddress: string,
    private readonly tls?: TlsFiles,
  ) {}

  open(
    {host, port}: RelayPeer,
    upstream: UpstreamAddress,
    signal: AbortSignal,
  ): Promise<Result<Socket, TunnelFailure>> {
    const authority = `${upstream.host}:${upstream.port}`;
    const options = {
      method: 'CONNECT',
      host,
      port,
      path: authority,
      localAddress: this.localAddress,
      agent: false,
      headers: {
        host: authority,
        [MAC_HEADER]: this.credential.sign(signedText(authority)),
      },
    };
    const message =
      this.tls === undefined
        ? httpRequest(options)
        : httpsRequest({...options, ...tlsClientOptions(this.tls)});
    return new Promise(resolve => {
      const abort = () => message.destroy();
      const finish = (result: Result<Socket, TunnelFailure>) => {
        signal.removeEventListener('abort', abort);
        resolve(result);
      };
      signal.addEventListener('abort', abort, {once: true});
      message.once('connect', (response, socket: Socket, head: Buffer) => {
        socket.on('error', () => undefined);
        if (response.statusCode === 200) {
          socket.setNoDelay(true);
          if (head.length > 0) socket.unshift(head);
          finish(ok(socket));
          return;
        }
        socket.destroy();
        finish(err(failureOf(response)));
      });
      message.on('error', cause =>
        finish(err({type: 'peer', cause: String(cause)})),
      );
      message.once('close', () =>
        finish(err({type: 'peer', cause: 'closed without an answer'})),
      );
      message.end();
    });
  }
}

function failureOf({statusCode, headers}: IncomingMessage): TunnelFailure {
  if (statusCode === 503) return {type: 'refused'};
  const code = headers[CODE_HEADER];
  return statusCode === 502
    ? {type: 'upstream', code: typeof code === 'string' ? code : ''}
    : {type: 'peer', cause: `refused with ${statusCode}`};
}
