import {BURN_WINDOWS_MS} from '../telemetry/index.js';

/** Urgency of an alert. */
export enum Severity {
  /** Needs action now: the error budget runs out within hours. */
  Page = 'page',
  /** Needs action today: the error budget runs out within days. */
  Ticket = 'ticket',
}

/** Error-budget burn rate over one window. */
export interface WindowBurn {
  windowMs: number;
  /** Requests that ended in the window. */
  total: number;
  /**
   * Requests that missed their targets, divided by the number of misses that
   * the objective allows. A rate of 1 uses exactly the whole error budget.
   * Absent if no misses are allowed: without requests, without an objective or
   * with an objective of 1.
   */
  rate?: number;
}

/** Alert raised when the burn rates of two windows exceed the threshold. */
export interface BurnAlert {
  severity: Severity;
  /** Short and long window, in ms. */
  windowsMs: [number, number];
  /** Burn rate that both windows exceed. */
  threshold: number;
}

const [FIVE_MINUTES, HALF_HOUR, HOUR, SIX_HOURS] = BURN_WINDOWS_MS;

/**
 * Multi-window burn-rate alerts. The long window shows that the loss of budget
 * is significant, the short one that it is still going on.
 */
const ALERT_RULES: readonly BurnAlert[] = [
  {
    severity: Severity.Page,
    windowsMs: [FIVE_MINUTES, HOUR],
    threshold: 14.4,
  },
  {
    severity: Severity.Ticket,
    windowsMs: [HALF_HOUR, SIX_HOURS],
    threshold: 6,
  },
];

/** An alert needs at least this many requests in the long window. */
const MIN_LONG_WINDOW_REQUESTS = 10;

/** Returns the alerts raised by burn rates over [[BURN_WINDOWS_MS]]. */
export function alertsOf(burns: readonly WindowBurn[]): BurnAlert[] {
  const exceedsThreshold = (
    windowMs: number,
    threshold: number,
    minRequests: number,
  ) => {
    const burn = burns.find(item => item.windowMs === windowMs);
    if (burn?.rate === undefined || burn.total < minRequests) return false;
    return burn.rate > threshold;
  };
  return ALERT_RULES.filter(
    ({windowsMs: [short, long], threshold}) =>
      exceedsThreshold(short, threshold, 1) &&
      exceedsThreshold(long, threshold, MIN_LONG_WINDOW_REQUESTS),
  );
}
