import type {History, Operation} from '../history.js';
import {ExecutionIndex} from './executions.js';
import {Guarantee, type Violation} from './violation.js';

/** Times closer together than this can't be ordered reliably, in ms. */
const CLOCK_MARGIN_MS = 20;

/**
 * Checks that no request was shed as overloaded while a request of a lower tier
 * waited in the same process for the same pool and was started afterwards. A
 * lower tier has a higher number.
 */
export function checkTiers(history: History): Violation[] {
  const index = new ExecutionIndex(history.executions);
  const shed = history.operations.filter(
    ({reply}) => reply?.error === 'overloaded',
  );
  return shed.flatMap(operation => {
    const preferred = history.operations.find(other =>
      wasPreferred(operation, other, index),
    );
    if (preferred === undefined) return [];
    const message = `tier ${operation.tier} shed, tier ${preferred.tier} served`;
    const trace = [operation, preferred];
    return [{guarantee: Guarantee.Tiers, message, trace}];
  });
}

/** Whether a request of a lower tier was served although `shed` was shed. */
function wasPreferred(
  shed: Operation,
  other: Operation,
  index: ExecutionIndex,
): boolean {
  if (other.tier <= shed.tier || other.pool !== shed.pool) return false;
  if (other.router !== shed.router || other.process !== shed.process) {
    return false;
  }
  if (other.sentAt + CLOCK_MARGIN_MS > shed.sentAt) return false;
  if (other.reply?.outcome !== 'completed') return false;
  const executions = index.ofRequest(other.reply.id);
  const started = Math.min(...executions.map(({startedAt}) => startedAt));
  return executions.length > 0 && started > shed.endedAt + CLOCK_MARGIN_MS;
}
