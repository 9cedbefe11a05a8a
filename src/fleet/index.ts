export {announce} from './announcement.js';
export type {AnnouncementParts} from './announcement.js';
export type {EvidenceLog} from './evidencelog.js';
export {Gossip} from './gossip.js';
export type {Datagrams} from './datagrams.js';
export type {GossipParts} from './gossip.js';
export {ownsKey} from './ownership.js';
export {HoldRecords, isHoldRecord} from './holdrecords.js';
export {PeerLoads} from './loads.js';
export type {LoadReport, PeerLoad} from './loads.js';
export type {
  InstanceAddress,
  LeavingUpstream,
  UpstreamLoad,
  GossipMessage,
  NoticeBoard,
  Notices,
  SentPrompt,
} from './message.js';
export {Peers} from './peers.js';
export {PermitExchange} from './permitexchange.js';
export type {PermitDemand, PermitUpstreams} from './permitexchange.js';
export type {RateStatement, UpstreamProcess} from './permitmessage.js';
export {RecordExchange} from './recordexchange.js';
export {TurnWriter} from './turnwriter.js';
export type {TurnWriterParts} from './turnwriter.js';
export type {
  PeerCaller,
  PeerListener,
  RecordExchangeParts,
} from './recordexchange.js';
