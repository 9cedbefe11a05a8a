import {statSync} from 'node:fs';
import type {Subscription, Timer} from '../timer/index.js';

/** How often a file is looked at; bounds how late a change is seen, in ms. */
const LOOK_MS = 1_000;

/** Calls `changed` when the time of a file's last change is another one. */
export function watchFile(
  path: string,
  timer: Timer,
  changed: () => void,
): Subscription {
  let knownMs = changeTime(path);
  return timer.every(LOOK_MS, () => {
    const nowMs = changeTime(path);
    // A file that is being replaced is there again at one of the next looks.
    if (nowMs === undefined || nowMs === knownMs) return;
    knownMs = nowMs;
    changed();
  });
}

function changeTime(path: string): number | undefined {
  return statSync(path, {throwIfNoEntry: false})?.mtimeMs;
}
