import {ByteBudget} from '../forward/index.js';
import type {Timer} from '../timer/index.js';
import {DEFAULT_MEMORY_BYTES, type GatewaySettings} from './gatewaysettings.js';

/** Share of the machine's memory for bodies; most is for the process itself. */
const BODY_SHARE = 0.15;

/** Creates the memory for bodies of requests that a machine has. */
export function bodyBudgetOf(
  {memoryBytes = DEFAULT_MEMORY_BYTES}: GatewaySettings,
  timer: Timer,
): ByteBudget {
  return new ByteBudget(memoryBytes * BODY_SHARE, timer);
}
