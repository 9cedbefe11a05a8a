export {Allowance} from './retrybudget.js';
export {Endpoints} from './endpoints.js';
export {Lane} from './servicestate.js';
export {Line} from './waitqueue.js';
export {listen, Listener} from './listener.js';
export type {Address} from './listener.js';
export {ForwardMetrics} from './metrics.js';
export type {ForwardParts} from './dependencies.js';
export {Probes} from './liveness.js';
export {Speeds} from './speedestimator.js';
export type {LoadView} from './load.js';
export type {
  AnswerHead,
  AnswerHeaders,
  Envelope,
  LoadReport,
  Prompt,
  PromptPart,
  Protocol,
  RequestHead,
} from './protocol.js';
