export {announce} from './announcement.js';
export type {AnnouncementParts} from './announcement.js';
export {Gossip} from './gossip.js';
export type {GossipParts} from './gossip.js';
export {PeerLoads} from './loads.js';
export type {PeerLoad} from './loads.js';
export type {
  InstanceAddress,
  UpstreamLoad,
  GossipMessage,
  SentPrompt,
} from './message.js';
