/** Longest pause that an upstream is granted, in ms. */
export const MAX_PAUSE_MS = 300_000;

/** Status with which an upstream turns a request away. */
const TURNED_AWAY_STATUS = 503;
const SECONDS = /^(\d+(\.\d*)?|\.\d+)$/;
/** Dates of HTTP begin with the name of a day; one form names no time zone. */
const HTTP_DATE =
  /^(Mon|Tue|Wed|Thu|Fri|Sat|Sun)[a-z]*,? .*\d{2}:\d{2}:\d{2}( GMT| \d{4})$/;

/** A pause that an upstream asks for in its response. */
export type RequestedPause =
  /** `capped`: it asked for longer than [[MAX_PAUSE_MS]]. */
  | {type: 'pause'; ms: number; capped: boolean}
  | {type: 'invalid'; value: string};

/**
 * The pause requested by a response, or undefined if it requests none. The value
 * of Retry-After is a number of seconds, also with a fraction, or a date, which
 * is compared with `wallNow`, in Unix ms.
 */
export function requestedPause(
  status: number,
  retryAfter: string | undefined,
  wallNow: number,
): RequestedPause | undefined {
  if (status !== TURNED_AWAY_STATUS || retryAfter === undefined) {
    return undefined;
  }
  const value = retryAfter.trim();
  const ms = SECONDS.test(value)
    ? Number(value) * 1_000
    : parseDate(value) - wallNow;
  if (Number.isNaN(ms) || ms < 0) return {type: 'invalid', value};
  if (ms === 0) return undefined;
  return {
    type: 'pause',
    ms: Math.min(MAX_PAUSE_MS, ms),
    capped: ms > MAX_PAUSE_MS,
  };
}

/** Unix ms of a date of HTTP; NaN if it is none. */
function parseDate(value: string): number {
  if (!HTTP_DATE.test(value)) return Number.NaN;
  return Date.parse(value.endsWith('GMT') ? value : `${value} GMT`);
}
