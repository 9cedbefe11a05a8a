export {Allowance} from './allowance.js';
export {Endpoints} from './endpoints.js';
export {Lane} from './lane.js';
export {Line} from './line.js';
export {listen, Listener} from './listener.js';
export type {Address} from './listener.js';
export {ForwardMetrics} from './metrics.js';
export type {ForwardParts} from './parts.js';
export {Probes} from './probe.js';
export {Speeds} from './speeds.js';
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
