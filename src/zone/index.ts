export {LinkBudgets} from './linkbudget.js';
export {Distance, linkName, Topology} from './topology.js';
export type {TopologyConfiguration, Route} from './topology.js';
