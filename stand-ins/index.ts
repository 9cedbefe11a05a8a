export {ENGINE_DEFAULTS, Fencing, Refusal} from './behaviour.js';
export type {EngineBehaviour} from './behaviour.js';
export type {EngineLoad} from './batch.js';
export {CacheEvents, PrefixCache} from './cache.js';
export type {CacheEvent, CacheEventPage} from './cache.js';
export {startEngine} from './engine.js';
export type {EngineStandIn} from './engine.js';
export {OrderVerdict} from './orders.js';
export type {JournaledOrder} from './orders.js';
export {ReseedableRandom, seededRandom} from './random.js';
export type {Random} from './random.js';
export type {EngineExecution} from './sequence.js';
export type {Usage} from './streams.js';
export type {StandIn} from './http.js';
export {startLog} from './log.js';
export type {LogBehaviour, LogStandIn} from './log.js';
export {startList} from './list.js';
export type {ListBehaviour, ListedInstance, ListStandIn} from './list.js';
export {Pipe} from './pipe.js';
export {NO_FAULTS} from './connection.js';
export type {Faults, Silence} from './connection.js';
export {Proxy} from './proxy.js';
export {startService} from './service.js';
export type {
  ServiceBehaviour,
  ServiceExecution,
  ServiceStandIn,
} from './service.js';
export {outputLength, outputTokens} from './text.js';
export type {GenerationBody} from './text.js';
export {startWeights} from './weights.js';
export type {
  WeightsBehaviour,
  WeightsFetch,
  WeightsStandIn,
} from './weights.js';
