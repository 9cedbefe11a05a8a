export {RetryBudget} from './retrybudget.js';
export {Endpoints} from './endpoints.js';
export {ServiceState} from './servicestate.js';
export {WaitQueue} from './waitqueue.js';
export {listen, Listener} from './listener.js';
export type {Address} from './listener.js';
export {Answers} from './answers.js';
export type {UpstreamRead} from './answers.js';
export {ChunkLimit} from './chunklimit.js';
export {ByteBudget} from './bytebudget.js';
export {ForwardMetrics} from './metrics.js';
export type {ForwardDependencies} from './dependencies.js';
export {DirectDialer} from './directdialer.js';
export {LivenessProber} from './liveness.js';
export {PromptGuard} from './promptguard.js';
export type {Endpoint} from './endpoint.js';
export type {QueueResult} from './placementrequest.js';
export {rateStatementOf, UpstreamNotices} from './upstreamnotices.js';
export {ResponseObserver} from './responseobserver.js';
export {Witnesses} from './witnesses.js';
export {SpeedEstimator} from './speedestimator.js';
export type {LoadView} from './load.js';
export type {
  ProcessReport,
  ResponseHead,
  ResponseHeaders,
  RequestMetadata,
  LoadReport,
  Prompt,
  PromptPart,
  Protocol,
  RateDeclaration,
  RequestHead,
} from './protocol.js';
