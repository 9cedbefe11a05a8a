export {ENGINE_DEFAULTS, FencingMode, RefusalMode} from './enginebehaviour.js';
export type {EngineBehaviour} from './enginebehaviour.js';
export type {EngineLoad} from './batch.js';
export {CacheEvents, PrefixCache} from './prefixcache.js';
export type {CacheEvent, CacheEventPage} from './prefixcache.js';
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
export {startInstanceList} from './instancelist.js';
export type {
  InstanceListBehaviour,
  ListedInstance,
  InstanceListStandIn,
} from './instancelist.js';
export {KeyedLog} from './keyedlog.js';
export type {LoggedRecord, LostRecord} from './keyedlog.js';
export {Availability, startKeyedStore} from './keyedstore.js';
export type {
  KeyedStoreBehaviour,
  KeyedStoreCalls,
  KeyedStoreStandIn,
} from './keyedstore.js';
export {SharedLink} from './sharedlink.js';
export {Acceptance, NO_FAULTS} from './connection.js';
export type {Faults, SilentDirection} from './connection.js';
export {FaultProxy} from './faultproxy.js';
export {startService} from './service.js';
export type {
  ServiceBehaviour,
  ServiceExecution,
  ServiceStandIn,
} from './service.js';
export {outputLength, outputTokens} from './output.js';
export type {GenerationBody} from './output.js';
export {startWeightStore} from './weightstore.js';
export type {
  WeightStoreBehaviour,
  WeightFetch,
  WeightStoreStandIn,
} from './weightstore.js';
