export {Gate} from './authenticator.js';
export type {InstanceGauges} from './gauges.js';
export {OperatorListener} from './listener.js';
export type {OperatorParts} from './listener.js';
export {LogPublisher} from './publisher.js';
export type {Publisher, PublishResult} from './publisher.js';
