export {EngineClient, ORDER_TIMEOUT_MS} from './engineclient.js';
export type {OrderFailure} from './engineclient.js';
export {DemandMeter} from './demandmeter.js';
export {OrderManager} from './manager.js';
export type {OrderParts} from './manager.js';
export {planOrders} from './plan.js';
export type {EngineView, PlanInput, PlannedOrder, WantedModel} from './plan.js';
export {CopyTargets} from './copytargets.js';
export type {ModelNeed} from './copytargets.js';
export {engineStateSchema} from './protocol.js';
export type {
  EngineOrder,
  EngineRole,
  EngineState,
  EngineTask,
  LoadedModel,
  PendingLoad,
} from './protocol.js';
export {ChangeDetector} from './changedetector.js';
export type {UnexpectedChange} from './changedetector.js';
