import {OperationKind, type History} from '../history.js';
import {ExecutionIndex} from './executions.js';
import {PromiseKind, type Violation} from './violation.js';

/** Checks that nothing that is not repeatable ran more than once. */
export function checkOnce(history: History): Violation[] {
  const index = new ExecutionIndex(history.executions);
  const seen = new Set<string>();
  return history.operations.flatMap(operation => {
    const {kind, key, digest} = operation;
    if (kind !== OperationKind.Order && kind !== OperationKind.UnkeyedOrder) {
      return [];
    }
    if (seen.has(key ?? digest)) return [];
    seen.add(key ?? digest);
    const ran = key === undefined ? index.ofDigest(digest) : index.ofKey(key);
    if (ran.length <= 1) return [];
    const calls = history.operations.filter(other => other.digest === digest);
    const message = `ran ${ran.length} times`;
    return [{promise: PromiseKind.Once, message, trace: [...calls, ...ran]}];
  });
}
