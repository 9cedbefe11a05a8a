import type {Logger} from 'pino';
import type {Routing} from '../route/index.js';
import type {Timer} from '../timer/index.js';
import type {Endpoint} from './endpoint.js';
import type {Lane} from './servicestate.js';
import type {ForwardMetrics} from './metrics.js';
import type {Prompt, Protocol} from './protocol.js';

/** What forwarding needs of the rest of the instance. */
export interface ForwardParts {
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
  sent(endpoint: Endpoint, prompt: Prompt): void;
  /** What is kept for a service. */
  laneOf(service: string): Lane;
  /** Whether a request that may last so long can still be answered here. */
  admits(limitMs: number): boolean;
  /** Whether callers' connections are to be closed after their answers. */
  closing: () => boolean;
}
