export {startEngine} from './engine.js';
export type {
  EngineBehaviour,
  EngineExecution,
  EngineStandIn,
} from './engine.js';
export type {StandIn} from './http.js';
export {startLog} from './log.js';
export type {LogBehaviour, LogStandIn} from './log.js';
export {serveControl, startProxy} from './proxy.js';
export type {Proxy, ProxyBehaviour} from './proxy.js';
export {startService} from './service.js';
export type {
  ServiceBehaviour,
  ServiceExecution,
  ServiceStandIn,
} from './service.js';
export {outputLength, outputTokens} from './text.js';
export type {GenerationBody} from './text.js';
