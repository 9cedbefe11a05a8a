export {LinkBudgets} from './linkbudget.js';
export {Distance, linkName, Topology} from './topology.js';
export type {Places, Route} from './topology.js';
