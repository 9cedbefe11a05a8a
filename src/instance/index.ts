export {Credential} from './credential.js';
export {DatagramPort} from './datagram.js';
export type {DatagramHandler, DatagramUsage} from './datagram.js';
export {Discovery} from './discovery.js';
export {Entrance} from './entrance.js';
export type {EntranceParts} from './entrance.js';
export {
  commandLeaving,
  connectLeaving,
  markUpstreams,
  readUpstreams,
} from './leaving.js';
export type {LeavingParts, UpstreamSummary} from './leaving.js';
export {MemberState} from './member.js';
export type {Member, Membership, MemberStatus} from './member.js';
export {Fleet} from './membership.js';
export type {FleetParts, Identity} from './membership.js';
export type {TopicItem} from './message.js';
export {Passing} from './passing.js';
export {addressOf, PeerClient, PeerServer} from './peer.js';
export type {PeerAddress, PeerFailure, PeerHandler, PeerUsage} from './peer.js';
export {PROBE_PERIOD_MS} from './prober.js';
export {openPeerPorts} from './ports.js';
export type {PortsUnavailable} from './ports.js';
export {checkSettings, settingsSchema} from './settings.js';
export type {InvalidSettings, Settings} from './settings.js';
export {LoneMembership} from './static.js';
export {Synchronizer} from './sync.js';
export {readTlsFiles} from './tls.js';
export type {TlsFiles, UnreadableFile} from './tls.js';
export type {Topic} from './topic.js';
export {isLive, readMembers, serveMembers} from './view.js';
export type {MemberSummary} from './view.js';
export {readOwnUsage, readUsage, serveUsage} from './usage.js';
export type {ControlUsage, CountedParts} from './usage.js';
