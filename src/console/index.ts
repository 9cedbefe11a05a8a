export {Authenticator} from './authenticator.js';
export type {InstanceGauges} from './gauges.js';
export {OperatorListener} from './listener.js';
export type {OperatorListenerDependencies} from './listener.js';
export {LogPublisher} from './publisher.js';
export type {Publisher, PublishResult} from './publisher.js';
