export {announce} from './announcement.js';
export type {AnnouncementParts} from './announcement.js';
export {Gossip} from './gossip.js';
export type {GossipParts} from './gossip.js';
export {FleetLoads} from './loads.js';
export type {FleetLoad} from './loads.js';
export type {FleetAddress, LoadNews, News, ReadingNews} from './message.js';
