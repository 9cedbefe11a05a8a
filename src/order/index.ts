export {EngineClient, ORDER_TIMEOUT_MS} from './client.js';
export type {OrderFailure} from './client.js';
export {DemandMeter} from './demand.js';
export {OrderManager} from './manager.js';
export type {OrderParts} from './manager.js';
export {planOrders} from './plan.js';
export type {EngineView, PlanInput, PlannedOrder, WantedModel} from './plan.js';
export {CopyTargets} from './target.js';
export type {ModelNeed} from './target.js';
export {engineStateSchema} from './task.js';
export type {
  EngineOrder,
  EngineRole,
  EngineState,
  EngineTask,
  LoadedModel,
  PendingLoad,
} from './task.js';
export {Watch} from './watch.js';
export type {ForeignChange} from './watch.js';
