import type {Logger} from 'pino';
import type {Datagrams, PeerCaller, PeerListener} from '../fleet/index.js';
import {Credential} from '../instance/credential.js';
import {DatagramPort} from '../instance/datagram.js';
import {openPeerPorts} from '../instance/peerports.js';
import {PeerClient, PeerServer} from '../instance/peerrpc.js';
import {PeerTunnels} from '../instance/peertunnel.js';
import {LogEvent} from '../telemetry/index.js';
import type {Timer} from '../timer/index.js';

/** Carries messages and calls between the instances of a fleet. */
export interface FleetTransport {
  datagrams: Datagrams;
  client: PeerCaller;
  server: PeerListener;
  /** Opens the port for peers; undefined if that fails, as when it is in use. */
  openPort(): Promise<number | undefined>;
  close(): Promise<void>;
}

/** Datagrams and HTTP calls on one port number, over UDP and TCP. */
export class NetworkTransport implements FleetTransport {
  readonly datagrams: DatagramPort;
  readonly client: PeerClient;
  readonly server: PeerServer;
  /** Connections to upstreams through peers. */
  readonly tunnels: PeerTunnels;

  constructor(
    private readonly address: {host: string; port: number},
    timer: Timer,
    private readonly logger: Logger,
  ) {
    const credential = new Credential([]);
    this.datagrams = new DatagramPort(credential, timer);
    this.server = new PeerServer(credential);
    this.client = new PeerClient(credential, address.host);
    this.tunnels = new PeerTunnels(credential, address.host);
  }

  async openPort(): Promise<number | undefined> {
    const {host, port: peerPort} = this.address;
    try {
      return await openPeerPorts(this.server, this.datagrams, {host, peerPort});
    } catch (cause) {
      this.logger.warn(
        {event: LogEvent.Peer, cause: String(cause)},
        'Could not open the port for peers.',
      );
      return undefined;
    }
  }

  async close(): Promise<void> {
    this.datagrams.close();
    await Promise.all([this.server.close(), this.client.close()]);
  }
}
