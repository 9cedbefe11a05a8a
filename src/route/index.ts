export {Repetition} from './document.js';
export type {
  CallerLimits,
  Engine,
  Route,
  RoutingDocument,
  Service,
  Split,
  Workspace,
} from './document.js';
export {Routing} from './routing.js';
export {RoutingTable} from './table.js';
export type {Authentication} from './table.js';
