import {
  ByteBudget,
  ChunkLimit,
  type ForwardDependencies,
} from '../forward/index.js';
import type {Timer} from '../timer/index.js';
import {
  DEFAULT_MEMORY_BYTES,
  DEFAULT_REQUESTS_AHEAD,
  type GatewaySettings,
} from './gatewaysettings.js';

/** Share of the machine's memory for bodies; most is for the process itself. */
const BODY_SHARE = 0.15;

/** Bounds on what callers make an instance hold, from its settings. */
export function callerBoundsOf(
  settings: GatewaySettings,
  timer: Timer,
): Pick<ForwardDependencies, 'bodies' | 'smallChunks' | 'maxRequestsAhead'> {
  const {memoryBytes = DEFAULT_MEMORY_BYTES} = settings;
  const {requestsAhead = DEFAULT_REQUESTS_AHEAD} = settings;
  return {
    bodies: new ByteBudget(memoryBytes * BODY_SHARE, timer),
    smallChunks: new ChunkLimit(timer),
    maxRequestsAhead: requestsAhead,
  };
}
