import type {Logger} from 'pino';
import type {Routing} from '../route/index.js';
import type {Timer} from '../timer/index.js';
import type {Endpoint} from './endpoint.js';
import type {ServiceState} from './servicestate.js';
import type {ForwardMetrics} from './metrics.js';
import type {Prompt, Protocol} from './protocol.js';

/** What forwarding needs of the rest of the instance. */
export interface ForwardDependencies {
  routing: Routing;
  protocol: Protocol;
  timer: Timer;
  logger: Logger;
  metrics: ForwardMetrics;
  /** Source of randomness in [0, 1). */
  random: () => number;
  /** Whether a silent upstream answers a question on another connection. */
  isAlive(endpoint: Endpoint): Promise<boolean>;
  /** Told of each prompt that is sent to an upstream. */
  promptSent(endpoint: Endpoint, prompt: Prompt): void;
  /** What is kept for a service. */
  serviceStateOf(service: string): ServiceState;
  /** Whether a request that may last so long can still be answered here. */
  canServeFor(limitMs: number): boolean;
  /** Whether callers' connections are to be closed after their answers. */
  isDraining: () => boolean;
}
