export {Credential} from './credential.js';
export {DatagramPort} from './datagram.js';
export type {DatagramHandler, DatagramUsage} from './datagram.js';
export {Discovery} from './discovery.js';
export {CallerListener} from './callerlistener.js';
export type {CallerListenerParts} from './callerlistener.js';
export {
  sendLeavingCommand,
  connectLeavingUpstreams,
  markLeavingUpstreams,
  fetchUpstreams,
} from './leavingupstreams.js';
export type {
  LeavingUpstreamsParts,
  UpstreamSummary,
} from './leavingupstreams.js';
export {MemberState} from './member.js';
export type {Member, Membership, MemberStatus} from './member.js';
export {GossipMembership} from './gossipmembership.js';
export type {GossipMembershipParts, Identity} from './gossipmembership.js';
export type {TopicItem} from './message.js';
export {ConfigurationExchange} from './configurationexchange.js';
export {parsePeerAddress, PeerClient, PeerServer} from './peerrpc.js';
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
export {StandaloneMembership} from './standalonemembership.js';
export {Synchronizer} from './synchronizer.js';
export {readTlsFiles} from './peertls.js';
export type {TlsFiles, UnreadableFile} from './peertls.js';
export type {Topic} from './topic.js';
export {isLive, fetchMembers, serveMembers} from './memberlist.js';
export type {MemberSummary} from './memberlist.js';
export {readOwnUsage, fetchUsage, serveUsage} from './resourceusage.js';
export type {ResourceUsage, UsageSources} from './resourceusage.js';
