export {LinkBudgets} from './link.js';
export {Distance, linkName, Topology} from './topology.js';
export type {TopologyConfiguration, Route} from './topology.js';
