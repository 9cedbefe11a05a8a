import {err, ok} from 'neverthrow';
import {buildConnector} from 'undici';
import {
  Path,
  type DialCallback,
  type RelayPeer,
  type UpstreamAddress,
  type UpstreamDialer,
} from '../relay/index.js';

/** Longest time to open a connection, in ms. */
const CONNECT_TIMEOUT_MS = 800;

/** Opens direct connections only, from a local address. */
export class DirectDialer implements UpstreamDialer {
  private readonly connect = buildConnector({timeout: CONNECT_TIMEOUT_MS});

  constructor(private readonly localAddress: string) {}

  dial(upstream: UpstreamAddress, callback: DialCallback): void {
    this.dialDirectly(upstream, callback);
  }

  dialThrough(
    upstream: UpstreamAddress,
    _peer: RelayPeer,
    callback: DialCallback,
  ): void {
    this.dialDirectly(upstream, callback);
  }

  dialDirectly({host, port}: UpstreamAddress, callback: DialCallback): void {
    const {localAddress} = this;
    const options = {hostname: host, port: String(port), protocol: 'http:'};
    this.connect({...options, localAddress}, (error, socket) =>
      callback(error === null ? ok({socket, path: Path.Direct}) : err(error)),
    );
  }

  trustsIdle(): boolean {
    return true;
  }

  noteBytes(): void {}

  noteFailure(): void {}
}
