/** Number of latest answers of a route that are remembered. */
const REMEMBERED = 50;
/** Fewest answers from which the start of another can be judged. */
const MIN_REMEMBERED = 10;
/** How much longer than the slowest one an answer may take to begin. */
const OVERDUE_FACTOR = 2;

/** How long the latest answers of each route of a service took to begin. */
export class AnswerStarts {
  private readonly recentMs = new Map<string, number[]>();

  /** Records the time from sending a request to the head of its answer, in ms. */
  add(routeName: string, ms: number): void {
    const recent = this.recentMs.get(routeName) ?? [];
    recent.push(ms);
    if (recent.length > REMEMBERED) recent.shift();
    this.recentMs.set(routeName, recent);
  }

  /**
   * Time after which an answer is overdue that has not begun, in ms; undefined
   * while too few answers of the route are known.
   */
  overdueMs(routeName: string): number | undefined {
    const recent = this.recentMs.get(routeName) ?? [];
    if (recent.length < MIN_REMEMBERED) return undefined;
    return Math.max(...recent) * OVERDUE_FACTOR;
  }
}
