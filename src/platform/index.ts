export {HttpInstanceList} from './list.js';
export type {InstanceList, ListedInstance} from './list.js';
export {HttpLog} from './log.js';
export type {
  Log,
  LogPage,
  LogPosition,
  LogRecord,
  PlatformFailure,
} from './log.js';
export {HttpWeightStore} from './weights.js';
export type {WeightStore, WeightStoreStatus} from './weights.js';
export {Meter, meteredConnector} from './meter.js';
export type {ConnectorOptions, Traffic} from './meter.js';
