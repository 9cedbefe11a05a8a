import type {DatagramPort} from './datagram.js';
import type {PeerServer} from './peerrpc.js';

const ATTEMPTS = 20;

/** No port was free for both TCP and UDP. */
export class PortsUnavailable extends Error {
  readonly type = 'portsUnavailable';

  constructor(
    readonly host: string,
    readonly port: number,
  ) {
    super(`no TCP and UDP port for peers at ${host}:${port}`);
  }
}

/**
 * Opens one port number for peers over TCP and UDP alike, and returns it. With
 * `peerPort` 0 it looks for a number that is free for both.
 */
export async function openPeerPorts(
  server: PeerServer,
  datagrams: DatagramPort,
  {host, peerPort}: {host: string; peerPort: number},
): Promise<number> {
  const attempts = peerPort === 0 ? ATTEMPTS : 1;
  for (let attempt = 0; attempt < attempts; attempt++) {
    const port = await server.listen(host, peerPort);
    if (await datagrams.bind(host, port)) return port;
    await server.close();
  }
  throw new PortsUnavailable(host, peerPort);
}
