export * from './config/index.js';
export * from './instance/index.js';
export * from './platform/index.js';
export * from './request/index.js';
export * from './telemetry/index.js';
export * from './timer/index.js';
export * from './upstream/index.js';
export {startRouter} from './wiring.js';
export type {Router} from './wiring.js';
