export {HttpInstanceList} from './instancelist.js';
export type {InstanceList, ListedInstance} from './instancelist.js';
export {HttpLog} from './log.js';
export type {
  Log,
  LogPage,
  LogPosition,
  LogRecord,
  PlatformFailure,
} from './log.js';
export {HttpWeightStore} from './weightstore.js';
export type {WeightStore, WeightStoreStatus} from './weightstore.js';
export {TrafficMeter, meteredConnector} from './meter.js';
export type {ConnectorOptions, Traffic} from './meter.js';
