import type {History, Operation} from '../history.js';
import {Guarantee, type Violation} from './violation.js';

/** Fewest calls of a class from which its service is judged. */
const MIN_CALLS = 5;

/** Checks that every class was served, also once all faults had ended. */
export function checkServed({operations, faults}: History): Violation[] {
  const lastFault = Math.max(0, ...faults.map(({to}) => to));
  const late = operations.filter(({sentAt}) => sentAt > lastFault);
  return [
    ...findUnservedClasses(operations, 'never served'),
    ...findUnservedClasses(late, 'not served after the faults'),
  ];
}

function findUnservedClasses(
  operations: Operation[],
  message: string,
): Violation[] {
  const byClass = new Map<string, Operation[]>();
  for (const operation of operations) {
    const list = byClass.get(operation.class) ?? [];
    list.push(operation);
    byClass.set(operation.class, list);
  }
  return [...byClass].flatMap(([name, calls]) => {
    const patient = calls.filter(({gaveUp}) => !gaveUp);
    if (calls.length < MIN_CALLS) return [];
    if (patient.some(({reply}) => reply?.outcome === 'completed')) return [];
    return [
      {
        promise: Guarantee.Served,
        message: `class ${name} ${message}`,
        trace: calls.slice(0, MIN_CALLS),
      },
    ];
  });
}
