import {OperationKind, type History, type Operation} from '../history.js';
import {ExecutionIndex} from './executions.js';
import {PromiseKind, type Violation} from './violation.js';

/**
 * Checks that nothing ran of what was told as not run. Under a key this holds
 * for every call made before the caller was told; a call made after may run.
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
    const ran = executionsOf(operation, index, byKey);
    if (ran.length === 0) return [];
    const message = 'told as not run, and ran';
    return [{promise: PromiseKind.NotRun, message, trace: [operation, ...ran]}];
  });
}

function executionsOf(
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
  const told = operation.endedAt;
  const others = index.ofKey(operation.key).filter(({id, startedAt}) => {
    if (startedAt <= told) return true;
    const later = calls.filter(call => call.sentAt >= told);
    const isEarlier = calls.some(
      call => call.sentAt < told && call.reply?.id === id,
    );
    return isEarlier || !later.some(call => call.sentAt <= startedAt);
  });
  return [...own, ...others];
}
