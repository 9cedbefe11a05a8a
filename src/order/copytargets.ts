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
const CHANGE_THRESHOLD_COPIES = 0.75;
/** How long demand must ask for more copies before they are loaded. */
const RISE_MS = 30_000;
/** How long demand must ask for fewer copies before they may go. */
const FALL_MS = 300_000;

interface Target {
  copies: number;
  /** Direction of a change that demand asks for, and since when. */
  wish?: {direction: 1 | -1; since: number};
}

/**
 * The number of copies each model of a pool should have: its configured
 * minimum, and the room that is left shared by demand. A target follows demand
 * one copy at a time and only when demand has lasted.
 */
export class CopyTargets {
  private readonly targets = new Map<string, Target>();

  /** Updates the targets; `room` is the number of models that fit in all. */
  update(
    needs: readonly ModelNeed[],
    room: number,
    engines: number,
    now: number,
  ): ReadonlyMap<string, number> {
    const required = needs.reduce((sum, {minimum}) => sum + minimum, 0);
    const spare = Math.max(0, room - required);
    for (const need of needs) {
      const wanted = Math.min(engines, need.minimum + spare * need.share);
      this.follow(need, wanted, now);
    }
    return new Map(
      needs.map(({model, minimum}) => [
        model,
        Math.max(minimum, this.targets.get(model)?.copies ?? 0),
      ]),
    );
  }

  private follow(need: ModelNeed, wanted: number, now: number): void {
    const target = this.targets.get(need.model);
    if (target === undefined) {
      // A new holder keeps what it finds until demand tells otherwise.
      this.targets.set(need.model, {
        copies: Math.max(need.minimum, need.actual),
      });
      return;
    }
    const difference = wanted - target.copies;
    if (Math.abs(difference) < CHANGE_THRESHOLD_COPIES) {
      delete target.wish;
      return;
    }
    const direction = difference > 0 ? 1 : -1;
    if (target.wish?.direction !== direction) {
      target.wish = {direction, since: now};
      return;
    }
    const holdMs = direction === 1 ? RISE_MS : FALL_MS;
    if (now - target.wish.since < holdMs) return;
    target.copies += direction;
    target.wish.since = now;
  }
}
