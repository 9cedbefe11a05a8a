import type {Targets} from '../config/index.js';

const DAY_MS = 24 * 3_600_000;
const MINUTE_MS = 60_000;

/** Times of one request that targets are compared with, in ms. */
export interface RequestTimes {
  /** From arrival to the first token. */
  firstTokenMs?: number;
  /** Mean time between tokens. */
  betweenTokensMs?: number;
  /** From arrival to the end. */
  completionMs: number;
}

/**
 * Returns whether a request that ended at `endedAt`, in wall-clock ms, met every
 * target of its class. A target for a time that the request does not have, such
 * as the time between tokens of a one-token answer, counts as met.
 */
export function meetsTargets(
  targets: Targets,
  times: RequestTimes,
  endedAt: number,
): boolean {
  return (
    isWithin(times.firstTokenMs, targets.firstTokenMs) &&
    isWithin(times.betweenTokensMs, targets.betweenTokensMs) &&
    isWithin(times.completionMs, targets.completionMs) &&
    isDoneInTime(targets.doneBy, endedAt - times.completionMs, endedAt)
  );
}

function isWithin(
  value: number | undefined,
  limit: number | undefined,
): boolean {
  return value === undefined || limit === undefined || value <= limit;
}

function isDoneInTime(
  doneBy: string | undefined,
  arrivedAt: number,
  endedAt: number,
): boolean {
  if (doneBy === undefined) return true;
  return endedAt <= nextTimeOfDay(doneBy, arrivedAt);
}

/**
 * Returns the first time at or after `from` with the UTC time of day `HH:MM`,
 * both in wall-clock ms.
 */
export function nextTimeOfDay(time: string, from: number): number {
  const [hours = 0, minutes = 0] = time.split(':').map(Number);
  const midnight = Math.floor(from / DAY_MS) * DAY_MS;
  const sameDay = midnight + (hours * 60 + minutes) * MINUTE_MS;
  return sameDay >= from ? sameDay : sameDay + DAY_MS;
}

/** Formats targets as a short phrase for tables. */
export function describeTargets(targets: Targets): string {
  const parts = [
    formatTarget('first token', targets.firstTokenMs),
    formatTarget('between tokens', targets.betweenTokensMs),
    formatTarget('completion', targets.completionMs),
    targets.doneBy === undefined ? undefined : `done by ${targets.doneBy} UTC`,
  ];
  const phrases = parts.filter(part => part !== undefined);
  return phrases.length === 0 ? 'a whole answer' : phrases.join(', ');
}

function formatTarget(
  label: string,
  limitMs: number | undefined,
): string | undefined {
  return limitMs === undefined ? undefined : `${label} ${limitMs} ms`;
}
