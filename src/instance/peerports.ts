import type {DatagramPort} from './datagram.js';
import type {PeerServer} from './peerrpc.js';

/** Port numbers to try if any may be used. */
const MAX_ATTEMPTS = 20;

/** No port is free for both TCP and UDP. */
export class PortsUnavailable extends Error {
  readonly type = 'portsUnavailable';

  constructor(
    readonly host: string,
    readonly port: number,
  ) {
    super(`no port is free for both TCP and UDP at ${host}:${port}`);
  }
}

/**
 * Opens the same port number for peers over TCP and UDP, and returns it. With
 * `peerPort` 0 it tries several that the system assigns. Throws
 * [[PortsUnavailable]], or the error of the TCP server.
 */
export async function openPeerPorts(
  server: PeerServer,
  datagrams: DatagramPort,
  {host, peerPort}: {host: string; peerPort: number},
): Promise<number> {
  const attempts = peerPort === 0 ? MAX_ATTEMPTS : 1;
  for (let attempt = 0; attempt < attempts; attempt++) {
    const port = await server.listen(host, peerPort);
    if (await datagrams.bind(host, port)) return port;
    await server.close();
  }
  throw new PortsUnavailable(host, peerPort);
}
