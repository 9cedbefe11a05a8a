import type {History, Operation} from '../history.js';
import {ExecutionIndex} from './executions.js';
import {Guarantee, type Violation} from './violation.js';

/** Difference within which the order of two moments is not known, in ms. */
const CLOCK_MARGIN_MS = 20;

/**
 * Checks that no request was shed for want of capacity while one of a lower
 * tier waited in the same process for the same pool and was served later.
 */
export function checkTiers(history: History): Violation[] {
  const index = new ExecutionIndex(history.executions);
  const shed = history.operations.filter(
    ({reply}) => reply?.error === 'overloaded',
  );
  return shed.flatMap(operation => {
    const favoured = history.operations.find(other =>
      wasPreferred(operation, other, index),
    );
    if (favoured === undefined) return [];
    const message = `tier ${operation.tier} shed, tier ${favoured.tier} kept`;
    const trace = [operation, favoured];
    return [{promise: Guarantee.Tiers, message, trace}];
  });
}

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
  const ran = index.ofRequest(other.reply.id);
  const started = Math.min(...ran.map(({startedAt}) => startedAt));
  return ran.length > 0 && started > shed.endedAt + CLOCK_MARGIN_MS;
}
