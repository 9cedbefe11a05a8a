import {FaultKind, type History, type Operation} from '../history.js';
import {Guarantee, type Violation} from './violation.js';

/** Longest time from sending a request to its arrival, in ms. */
const REQUEST_ARRIVAL_MS = 100;
/** Faults that interrupt requests without a shutdown. */
const INTERRUPTING_FAULTS = new Set([
  FaultKind.KillRouter,
  FaultKind.SilentCaller,
]);

/**
 * Checks that routers finished every request in flight when they shut down, and
 * exited with code 0.
 */
export function checkShutdown(history: History): Violation[] {
  return history.shutdowns.flatMap(shutdown => {
    const {router, process, askedAt, endedAt, code} = shutdown;
    const hadOtherFault = history.faults.some(
      ({kind, target, from, to}) =>
        INTERRUPTING_FAULTS.has(kind) &&
        target === router &&
        from <= endedAt &&
        to >= askedAt - REQUEST_ARRIVAL_MS,
    );
    if (hadOtherFault) return [];
    const inFlight = history.operations.filter(
      operation =>
        operation.router === router &&
        operation.process === process &&
        operation.sentAt < askedAt - REQUEST_ARRIVAL_MS &&
        operation.endedAt > askedAt,
    );
    const interrupted = inFlight.filter(wasInterrupted);
    const trace = [shutdown, ...interrupted.slice(0, 5)];
    const violations: Violation[] = [];
    if (interrupted.length > 0) {
      const message = `${interrupted.length} requests interrupted`;
      violations.push({guarantee: Guarantee.Shutdown, message, trace});
    }
    if (code !== 0) {
      const message = `exit code ${code}`;
      violations.push({
        guarantee: Guarantee.Shutdown,
        message,
        trace: [shutdown],
      });
    }
    return violations;
  });
}

function wasInterrupted({gaveUp, lost, reply}: Operation): boolean {
  if (gaveUp) return false;
  return lost !== undefined || reply?.outcome === undefined;
}
