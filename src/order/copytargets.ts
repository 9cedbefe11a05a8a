/** A model's need for copies, as seen in one round. */
export interface ModelNeed {
  model: string;
  /** Copies by configuration. */
  minimum: number;
  /** Copies there are. */
  actual: number;
  /** Share of the pool's demand, 0 to 1. */
  share: number;
}

/** Difference from the target that a demand must reach to change it. */
const MIN_CHANGE_COPIES = 0.75;
/** How long demand must ask for more copies before they are loaded. */
const MIN_RISE_DURATION_MS = 30_000;
/** How long demand must ask for fewer copies before they may go. */
const MIN_FALL_DURATION_MS = 300_000;

interface CopyTarget {
  copies: number;
  /** Direction of a change that demand asks for, and since when. */
  pendingChange?: {direction: 1 | -1; since: number};
}

/**
 * The number of copies each model of a pool should have: its configured
 * minimum, and the room that is left shared by demand. A target follows demand
 * one copy at a time and only when demand has lasted.
 */
export class CopyTargets {
  private readonly targets = new Map<string, CopyTarget>();

  /** Updates the targets; `room` is the number of models that fit in all. */
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
      // A new holder keeps what it finds until demand tells otherwise.
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
