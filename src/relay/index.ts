export {Dialer, RelayFailure} from './dialer.js';
export type {DialCallback, OpenConnection, UpstreamDialer} from './dialer.js';
export {LATE_RESET_MS, LONG_REQUEST_BYTES} from './latereset.js';
export {Isolation, Path, Reachability} from './reachability.js';
export {RelayChoice} from './relaychoice.js';
export type {RelayPeer} from './relaychoice.js';
export {RelayClient} from './relayclient.js';
export {joinSockets, RelayServer} from './relayserver.js';
export type {
  TunnelFailure,
  TunnelReply,
  Tunnels,
  UpstreamAddress,
} from './tunnel.js';
export {UpstreamLinks} from './upstreamlinks.js';
export type {UpstreamName} from './upstreamlinks.js';
