export {LinkBudgets} from './link.js';
export {Distance, linkName, Topology} from './topology.js';
export type {Places, Route} from './topology.js';
