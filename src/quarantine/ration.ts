/** Time in which one instance may forward one request with a part, in ms. */
const TURN_MS = 2000;

/**
 * Time from the last crash of a part in which it is rationed, in ms. Requests
 * with a rare part would seldom meet a turn of their instance.
 */
const RATION_MS = 15_000;

/**
 * Which parts of a request are rationed at a time in monotonic ms. `rationed`:
 * such parts and when they crashed an upstream last.
 */
export function rationedOf(
  rationed: ReadonlyMap<string, number>,
  parts: readonly string[],
  now: number,
): string[] {
  if (rationed.size === 0) return [];
  return parts.filter(
    part => now - (rationed.get(part) ?? -Infinity) < RATION_MS,
  );
}

/** The turns of instances to forward one request with each rationed part. */
export class Turns {
  /** The turn in which each part was last forwarded. */
  private readonly taken = new Map<string, number>();
  /** The turn that was last asked for, and whether it is that of this instance. */
  private current = {turn: -Infinity, isOwn: false};

  /** `ownsTurn` tells whether a turn is that of this instance. */
  constructor(private readonly ownsTurn: (turn: number) => boolean) {}

  /** Whether the turn at a time in Unix ms may be taken for parts. */
  isFree(parts: readonly string[], wallNow: number): boolean {
    const turn = turnAt(wallNow);
    return (
      parts.every(part => this.taken.get(part) !== turn) && this.owns(turn)
    );
  }

  take(parts: readonly string[], wallNow: number): void {
    const turn = turnAt(wallNow);
    for (const [part, taken] of this.taken) {
      if (taken !== turn) this.taken.delete(part);
    }
    for (const part of parts) this.taken.set(part, turn);
  }

  /** Hashing the names of a large fleet takes time. */
  private owns(turn: number): boolean {
    if (turn !== this.current.turn) {
      this.current = {turn, isOwn: this.ownsTurn(turn)};
    }
    return this.current.isOwn;
  }
}

function turnAt(wallNow: number): number {
  return Math.floor(wallNow / TURN_MS);
}
