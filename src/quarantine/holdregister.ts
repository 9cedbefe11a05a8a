import {HoldState, type Hold} from './evidence.js';

/** Most released parts that are remembered; the oldest decision goes first. */
const MAX_RELEASED = 1000;

function stateRank(state: HoldState): number {
  switch (state) {
    case HoldState.Held:
      return 1;
    case HoldState.Released:
      return 0;
  }
}

/** Whether `a` counts more than `b`, which is on the same part. */
function supersedes(a: Hold, b: Hold): boolean {
  const difference =
    a.revision - b.revision ||
    stateRank(a.state) - stateRank(b.state) ||
    a.crashes - b.crashes ||
    a.decidedAt - b.decidedAt;
  return difference > 0;
}

/** The newest decision on each part. */
export class HoldRegister {
  private readonly held = new Map<string, Hold>();
  private readonly released = new Map<string, Hold>();

  /** Takes a decision over unless a newer one is known. */
  merge(hold: Hold): boolean {
    const known = this.get(hold.part);
    if (known !== undefined && !supersedes(hold, known)) return false;
    this.held.delete(hold.part);
    this.released.delete(hold.part);
    switch (hold.state) {
      case HoldState.Held:
        this.held.set(hold.part, hold);
        break;
      case HoldState.Released: {
        this.released.set(hold.part, hold);
        if (this.released.size <= MAX_RELEASED) break;
        const [oldest] = this.released.keys();
        if (oldest !== undefined) this.released.delete(oldest);
        break;
      }
    }
    return true;
  }

  get(part: string): Hold | undefined {
    return this.held.get(part) ?? this.released.get(part);
  }

  /** Whether requests with the part are refused. */
  isHeld(part: string): boolean {
    return this.held.has(part);
  }

  /** The hold on one of the parts of a prompt, not counting its last part. */
  find(parts: readonly string[]): Hold | undefined {
    if (this.held.size === 0) return undefined;
    for (let index = 0; index < parts.length - 1; index++) {
      const part = parts[index];
      const hold = part === undefined ? undefined : this.held.get(part);
      if (hold !== undefined) return hold;
    }
    return undefined;
  }

  /** All decisions, those that refuse requests first. */
  list(): Hold[] {
    return [...this.held.values(), ...this.released.values()];
  }
}
