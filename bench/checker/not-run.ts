import {OperationKind, type History, type Operation} from '../history.js';
import {ExecutionIndex} from './executions.js';
import {Guarantee, type Violation} from './violation.js';

/**
 * Checks that no request with the outcome `not_run` was executed. With an
 * idempotency key this covers every call with that key that was sent before
 * the outcome arrived; a call sent after it may be executed.
 */
export function checkNotRun(history: History): Violation[] {
  const index = new ExecutionIndex(history.executions);
  const byKey = new Map<string, Operation[]>();
  for (const operation of history.operations) {
    if (operation.key === undefined) continue;
    const list = byKey.get(operation.key) ?? [];
    list.push(operation);
    byKey.set(operation.key, list);
  }
  return history.operations.flatMap(operation => {
    if (operation.reply?.outcome !== 'not_run') return [];
    const executions = executionsContradicting(operation, index, byKey);
    if (executions.length === 0) return [];
    const message = 'reported as not run, but was executed';
    return [
      {guarantee: Guarantee.NotRun, message, trace: [operation, ...executions]},
    ];
  });
}

/** Executions that contradict the outcome `not_run` of an operation. */
function executionsContradicting(
  operation: Operation,
  index: ExecutionIndex,
  byKey: Map<string, Operation[]>,
) {
  const own = index.ofRequest(operation.reply?.id ?? '');
  if (operation.key === undefined) {
    const isService = operation.kind !== OperationKind.Chat;
    return isService ? [...own, ...index.ofDigest(operation.digest)] : own;
  }
  const calls = byKey.get(operation.key) ?? [];
  const notRunAt = operation.endedAt;
  const forKey = index.ofKey(operation.key).filter(({id, startedAt}) => {
    if (startedAt <= notRunAt) return true;
    const laterCalls = calls.filter(call => call.sentAt >= notRunAt);
    const wasSentBefore = calls.some(
      call => call.sentAt < notRunAt && call.reply?.id === id,
    );
    return wasSentBefore || !laterCalls.some(call => call.sentAt <= startedAt);
  });
  return [...own, ...forKey];
}
