export {startEngine} from './engine.js';
export type {
  EngineBehaviour,
  EngineExecution,
  EngineStandIn,
} from './engine.js';
export type {StandIn} from './http.js';
export {startLog} from './log.js';
export type {LogBehaviour, LogStandIn} from './log.js';
export {startList} from './list.js';
export type {ListBehaviour, ListedInstance, ListStandIn} from './list.js';
export {NO_FAULTS, Proxy} from './proxy.js';
export type {Faults, Silence} from './proxy.js';
export {startService} from './service.js';
export type {
  ServiceBehaviour,
  ServiceExecution,
  ServiceStandIn,
} from './service.js';
export {outputLength, outputTokens} from './text.js';
export type {GenerationBody} from './text.js';
