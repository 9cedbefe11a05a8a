import {FaultKind, type History} from '../history.js';
import {Guarantee, type Violation} from './violation.js';

/** Time for all routers to learn that an upstream is leaving, in ms. */
const LEAVE_GRACE_MS = 3_000;

/** Checks that upstreams received no new requests while leaving. */
export function checkLeaving({faults, executions}: History): Violation[] {
  const leaving = faults.filter(({kind}) => kind === FaultKind.LeavingUpstream);
  return leaving.flatMap(fault => {
    const lateStarts = executions.filter(
      ({upstream, startedAt}) =>
        upstream === fault.target &&
        startedAt > fault.from + LEAVE_GRACE_MS &&
        startedAt < fault.to,
    );
    if (lateStarts.length === 0) return [];
    const message = `${fault.target} received ${lateStarts.length} requests while leaving`;
    const trace = [fault, ...lateStarts.slice(0, 5)];
    return [{guarantee: Guarantee.Leaving, message, trace}];
  });
}
