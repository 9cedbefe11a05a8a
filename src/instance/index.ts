export {Credential} from './credential.js';
export {DatagramPort} from './datagram.js';
export type {DatagramHandler, DatagramUsage} from './datagram.js';
export {Discovery} from './discovery.js';
export {Entrance} from './callerlistener.js';
export type {EntranceParts} from './callerlistener.js';
export {
  commandLeaving,
  connectLeaving,
  markUpstreams,
  readUpstreams,
} from './leavingupstreams.js';
export type {LeavingParts, UpstreamSummary} from './leavingupstreams.js';
export {MemberState} from './member.js';
export type {Member, Membership, MemberStatus} from './member.js';
export {Fleet} from './gossipmembership.js';
export type {FleetParts, Identity} from './gossipmembership.js';
export type {TopicItem} from './message.js';
export {Passing} from './configurationexchange.js';
export {addressOf, PeerClient, PeerServer} from './peerrpc.js';
export type {
  PeerAddress,
  PeerFailure,
  PeerHandler,
  PeerUsage,
} from './peerrpc.js';
export {PROBE_PERIOD_MS} from './prober.js';
export {openPeerPorts} from './peerports.js';
export type {PortsUnavailable} from './peerports.js';
export {checkSettings, settingsSchema} from './settings.js';
export type {InvalidSettings, Settings} from './settings.js';
export {LoneMembership} from './standalonemembership.js';
export {Synchronizer} from './synchronizer.js';
export {readTlsFiles} from './peertls.js';
export type {TlsFiles, UnreadableFile} from './peertls.js';
export type {Topic} from './topic.js';
export {isLive, readMembers, serveMembers} from './memberlist.js';
export type {MemberSummary} from './memberlist.js';
export {readOwnUsage, readUsage, serveUsage} from './resourceusage.js';
export type {ControlUsage, CountedParts} from './resourceusage.js';
