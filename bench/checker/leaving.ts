import {FaultKind, type History} from '../history.js';
import {Guarantee, type Violation} from './violation.js';

/** Time after which an upstream that leaves gets no new work, in ms. */
const LEAVE_GRACE_MS = 3_000;

/** Checks that upstreams that said they leave received no new work. */
export function checkLeaving({faults, executions}: History): Violation[] {
  const leaving = faults.filter(({kind}) => kind === FaultKind.LeavingUpstream);
  return leaving.flatMap(fault => {
    const ran = executions.filter(
      ({upstream, startedAt}) =>
        upstream === fault.target &&
        startedAt > fault.from + LEAVE_GRACE_MS &&
        startedAt < fault.to,
    );
    if (ran.length === 0) return [];
    const message = `${fault.target} got ${ran.length} requests while leaving`;
    const trace = [fault, ...ran.slice(0, 5)];
    return [{promise: Guarantee.Leaving, message, trace}];
  });
}
