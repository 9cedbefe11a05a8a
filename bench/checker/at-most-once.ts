import {OperationKind, type History} from '../history.js';
import {ExecutionIndex} from './executions.js';
import {Guarantee, type Violation} from './violation.js';

/** Checks that no request that is not repeatable was executed twice. */
export function checkAtMostOnce(history: History): Violation[] {
  const index = new ExecutionIndex(history.executions);
  const seen = new Set<string>();
  return history.operations.flatMap(operation => {
    const {kind, key, digest} = operation;
    if (kind !== OperationKind.Order && kind !== OperationKind.UnkeyedOrder) {
      return [];
    }
    if (seen.has(key ?? digest)) return [];
    seen.add(key ?? digest);
    const executions =
      key === undefined ? index.ofDigest(digest) : index.ofKey(key);
    if (executions.length <= 1) return [];
    const calls = history.operations.filter(other => other.digest === digest);
    const message = `executed ${executions.length} times`;
    return [
      {guarantee: Guarantee.Once, message, trace: [...calls, ...executions]},
    ];
  });
}
