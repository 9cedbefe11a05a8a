import type {OwnEnd} from './history.js';
import type {Finding} from './promise.js';

/** Finds the processes of gateways that ended by themselves. */
export function checkRunning(ends: readonly OwnEnd[]): Finding[] {
  return ends
    .filter(end => !endedInStart(end))
    .map(({gateway, incarnation, at, status}) => ({
      request: `${gateway}/${incarnation}`,
      message: `the process ended by itself with ${status}`,
      at,
      touchedByStall: false,
    }));
}

/**
 * Whether a signal ended a process that Node.js was still loading: until the
 * first module runs, none can have a handler, and nothing is logged.
 */
function endedInStart({hasLogged, status}: OwnEnd): boolean {
  return status === 'SIGHUP' && !hasLogged;
}
