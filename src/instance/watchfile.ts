import {statSync} from 'node:fs';
import type {Subscription, Timer} from '../timer/index.js';

/** Time between two checks of a file, in ms; bounds the detection delay. */
const POLL_PERIOD_MS = 1_000;

/** Polls the modification time of a file and calls `onChange` if it differs. */
export function watchFile(
  path: string,
  timer: Timer,
  onChange: () => void,
): Subscription {
  let knownMs = modificationTimeMs(path);
  return timer.every(POLL_PERIOD_MS, () => {
    const currentMs = modificationTimeMs(path);
    // A missing file may be about to be replaced; a later check finds it.
    if (currentMs === undefined || currentMs === knownMs) return;
    knownMs = currentMs;
    onChange();
  });
}

function modificationTimeMs(path: string): number | undefined {
  return statSync(path, {throwIfNoEntry: false})?.mtimeMs;
}
