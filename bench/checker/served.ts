import type {History, Operation} from '../history.js';
import {Guarantee, type Violation} from './violation.js';

/** Classes with fewer calls than this are not checked. */
const MIN_CALLS = 5;

/** Checks that every class was served, also after the last fault. */
export function checkServed({operations, faults}: History): Violation[] {
  const lastFaultEnd = Math.max(0, ...faults.map(({to}) => to));
  const afterFaults = operations.filter(({sentAt}) => sentAt > lastFaultEnd);
  return [
    ...findUnservedClasses(operations, 'never served'),
    ...findUnservedClasses(afterFaults, 'not served after the faults'),
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
    const awaited = calls.filter(({gaveUp}) => !gaveUp);
    if (calls.length < MIN_CALLS) return [];
    if (awaited.some(({reply}) => reply?.outcome === 'completed')) return [];
    return [
      {
        guarantee: Guarantee.Served,
        message: `class ${name} ${message}`,
        trace: calls.slice(0, MIN_CALLS),
      },
    ];
  });
}
