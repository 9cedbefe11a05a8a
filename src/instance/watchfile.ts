import {statSync} from 'node:fs';
import type {Subscription, Timer} from '../timer/index.js';

/** How often a file is looked at; bounds how late a change is seen, in ms. */
const POLL_PERIOD_MS = 1_000;

/** Calls `changed` when the time of a file's last change is another one. */
export function watchFile(
  path: string,
  timer: Timer,
  onChange: () => void,
): Subscription {
  let knownMs = modificationTimeMs(path);
  return timer.every(POLL_PERIOD_MS, () => {
    const currentMs = modificationTimeMs(path);
    // A file that is being replaced is there again at one of the next looks.
    if (currentMs === undefined || currentMs === knownMs) return;
    knownMs = currentMs;
    onChange();
  });
}

function modificationTimeMs(path: string): number | undefined {
  return statSync(path, {throwIfNoEntry: false})?.mtimeMs;
}
