import {BURN_WINDOWS_MS} from '../telemetry/index.js';

/** How soon somebody has to look at an alert. */
export enum Severity {
  /** Now: the budget of the objective runs out within hours. */
  Page = 'page',
  /** Today: the budget runs out within days. */
  Ticket = 'ticket',
}

/** Burn rate over one window. */
export interface WindowBurn {
  windowMs: number;
  /** Requests that ended in the window. */
  total: number;
  /**
   * Misses divided by the misses that the objective allows: 1 uses the budget
   * up exactly. Absent without requests or without an objective.
   */
  rate?: number;
}

/** An alert raised because two windows burn at once. */
export interface BurnAlert {
  severity: Severity;
  /** The windows that burn faster than the threshold, in ms. */
  windowsMs: [number, number];
  threshold: number;
}

const [FIVE_MINUTES, HALF_HOUR, HOUR, SIX_HOURS] = BURN_WINDOWS_MS;

/** The long window tells that it matters, the short one that it goes on. */
const RULES: readonly BurnAlert[] = [
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

/** Fewest requests in the long window for an alert. */
const MIN_REQUESTS = 10;

/** Returns the alerts that burn rates over [[WINDOWS_MS]] raise. */
export function alertsOf(burns: readonly WindowBurn[]): BurnAlert[] {
  const burning = (windowMs: number, threshold: number, fewest: number) => {
    const burn = burns.find(item => item.windowMs === windowMs);
    if (burn?.rate === undefined || burn.total < fewest) return false;
    return burn.rate > threshold;
  };
  return RULES.filter(
    ({windowsMs: [short, long], threshold}) =>
      burning(short, threshold, 1) && burning(long, threshold, MIN_REQUESTS),
  );
}
