/** Input to the number of copies of a model. */
export interface ModelNeed {
  model: string;
  /** Configured minimum of copies. */
  minimum: number;
  /** Loaded copies. */
  actual: number;
  /** Share of the pool's demand, 0 to 1. */
  share: number;
}

/** Difference between wanted and targeted copies that changes the target. */
const MIN_CHANGE_COPIES = 0.75;
/** Time for which demand must exceed the target before it is raised. */
const MIN_RISE_DURATION_MS = 30_000;
/** Time for which demand must be below the target before it is lowered. */
const MIN_FALL_DURATION_MS = 300_000;

/** Target number of copies of a model. */
interface CopyTarget {
  copies: number;
  /** A change that demand calls for, and since when, in monotonic ms. */
  pendingChange?: {direction: 1 | -1; since: number};
}

/**
 * Number of copies that each model of a pool should have: its configured
 * minimum, plus its share by demand of the remaining slots. A target changes by
 * one copy at a time, and only after demand has called for it long enough.
 */
export class CopyTargets {
  private readonly targets = new Map<string, CopyTarget>();

  /**
   * Updates and returns the targets, by model. `slots` is the number of models
   * that fit into all engines, `engines` the number of engines, and `now` is in
   * monotonic ms.
   */
  update(
    needs: readonly ModelNeed[],
    slots: number,
    engines: number,
    now: number,
  ): ReadonlyMap<string, number> {
    const required = needs.reduce((sum, {minimum}) => sum + minimum, 0);
    const spareSlots = Math.max(0, slots - required);
    for (const need of needs) {
      const wantedCopies = Math.min(
        engines,
        need.minimum + spareSlots * need.share,
      );
      this.adjust(need, wantedCopies, now);
    }
    return new Map(
      needs.map(({model, minimum}) => [
        model,
        Math.max(minimum, this.targets.get(model)?.copies ?? 0),
      ]),
    );
  }

  private adjust(need: ModelNeed, wantedCopies: number, now: number): void {
    const target = this.targets.get(need.model);
    if (target === undefined) {
      // A new lease holder keeps the loaded copies until demand changes.
      this.targets.set(need.model, {
        copies: Math.max(need.minimum, need.actual),
      });
      return;
    }
    const difference = wantedCopies - target.copies;
    if (Math.abs(difference) < MIN_CHANGE_COPIES) {
      delete target.pendingChange;
      return;
    }
    const direction = difference > 0 ? 1 : -1;
    if (target.pendingChange?.direction !== direction) {
      target.pendingChange = {direction, since: now};
      return;
    }
    const minDurationMs =
      direction === 1 ? MIN_RISE_DURATION_MS : MIN_FALL_DURATION_MS;
    if (now - target.pendingChange.since < minDurationMs) return;
    target.copies += direction;
    target.pendingChange.since = now;
  }
}
