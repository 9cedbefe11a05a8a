/**
 * Share of an idle time by which others may differ that the same time-out
 * ended, and the least such difference, in ms.
 */
const TOLERANCE = 0.1;
const MIN_TOLERANCE_MS = 50;
/** Matches the time-out that a Keep-Alive header announces, in s. */
const TIMEOUT = /(?:^|[\s,])timeout=(\d+)/i;

/**
 * Ends of idle connections to an upstream that weren't closed here. Those after a
 * usual or announced time are its time-outs; others may be due to its end.
 */
export class IdleEnds {
  /** When the last unusual end was, in monotonic ms. */
  unusualAt = -Infinity;
  /** How long the last connection had been idle, in ms. */
  private usualMs?: number;
  /** Idle time after which the upstream closes a connection, by its word, in ms. */
  private announcedMs?: number;

  /** Reads an announcement of the time-out from the head of a response. */
  readAnnouncement(
    headers: Record<string, string | string[] | undefined>,
  ): void {
    const seconds = TIMEOUT.exec(String(headers['keep-alive']))?.[1];
    if (seconds !== undefined) this.announcedMs = Number(seconds) * 1_000;
  }

  /** Notes the end of a connection that was idle since a time. */
  note(idleSince: number, now: number): void {
    const idleMs = now - idleSince;
    const toleranceMs = Math.max(MIN_TOLERANCE_MS, TOLERANCE * idleMs);
    const isUsual = [this.usualMs, this.announcedMs].some(
      (usualMs = -Infinity) => Math.abs(idleMs - usualMs) <= toleranceMs,
    );
    if (!isUsual) this.unusualAt = now;
    this.usualMs = idleMs;
  }
}
