import {FaultKind, type History, type Operation} from '../history.js';
import {Guarantee, type Violation} from './violation.js';

/** Time for a call to reach its router, in ms. */
const REQUEST_ARRIVAL_MS = 100;
/** Faults that cut requests off whether or not a router shuts down. */
const INTERRUPTING_FAULTS = new Set([
  FaultKind.KillRouter,
  FaultKind.SilentCaller,
]);

/** Checks that routers that shut down answered what they had taken. */
export function checkShutdown(history: History): Violation[] {
  return history.shutdowns.flatMap(shutdown => {
    const {router, process, askedAt, endedAt, code} = shutdown;
    const disturbed = history.faults.some(
      ({kind, target, from, to}) =>
        INTERRUPTING_FAULTS.has(kind) &&
        target === router &&
        from <= endedAt &&
        to >= askedAt - REQUEST_ARRIVAL_MS,
    );
    if (disturbed) return [];
    const inFlight = history.operations.filter(
      operation =>
        operation.router === router &&
        operation.process === process &&
        operation.sentAt < askedAt - REQUEST_ARRIVAL_MS &&
        operation.endedAt > askedAt,
    );
    const cut = inFlight.filter(wasInterrupted);
    const trace = [shutdown, ...cut.slice(0, 5)];
    const found: Violation[] = [];
    if (cut.length > 0) {
      const message = `${cut.length} requests cut off`;
      found.push({guarantee: Guarantee.Shutdown, message, trace});
    }
    if (code !== 0) {
      const message = `exit code ${code}`;
      found.push({guarantee: Guarantee.Shutdown, message, trace: [shutdown]});
    }
    return found;
  });
}

function wasInterrupted({gaveUp, lost, reply}: Operation): boolean {
  if (gaveUp) return false;
  return lost !== undefined || reply?.outcome === undefined;
}
