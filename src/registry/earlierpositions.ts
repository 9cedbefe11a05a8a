/**
 * Time after the end of an epoch in which instances tell each other how far
 * they had followed it, in ms. Well above the time in which what a store lost
 * is written again.
 */
const KEPT_MS = 120_000;
/**
 * Shortest time that a position is still kept for it to be learned, in ms. The
 * transit of a message makes it look younger; without a margin, instances
 * would tell each other of an expired position for ever.
 */
const MIN_KEPT_MS = 5_000;

/** How far a topic was known in an epoch that has ended. */
export interface EarlierPosition {
  epoch: number;
  /** Offset after the last record known. */
  end: number;
  /** Offset after the last change known. */
  changedTo: number;
  /** Time since the end of the epoch was noticed, in ms. */
  ageMs: number;
}

/**
 * The positions in earlier epochs up to which an instance has incorporated the
 * changes of a topic, its own or those of peers. Their records may be lost in
 * the store, so that who stands behind them can learn them from peers only.
 */
export class EarlierPositions {
  private readonly positions = new Map<
    number,
    {end: number; changedTo: number; at: number}
  >();

  /** Adds a position, at the monotonic time `now`. */
  add({epoch, end, changedTo, ageMs}: EarlierPosition, now: number): void {
    const known = this.positions.get(epoch);
    this.positions.set(epoch, {
      end: Math.max(end, known?.end ?? 0),
      changedTo: Math.max(changedTo, known?.changedTo ?? 0),
      at: known?.at ?? now - ageMs,
    });
  }

  /** The positions that are still told of. */
  list(now: number): EarlierPosition[] {
    for (const [epoch, {at}] of this.positions) {
      if (now - at > KEPT_MS) this.positions.delete(epoch);
    }
    return [...this.positions].map(([epoch, {end, changedTo, at}]) => ({
      epoch,
      end,
      changedTo,
      ageMs: Math.round(now - at),
    }));
  }

  /** Whether a peer with the positions `others` may know what isn't here. */
  isBehind(others: readonly EarlierPosition[]): boolean {
    return others.some(({epoch, changedTo, ageMs}) => {
      if (ageMs > KEPT_MS - MIN_KEPT_MS) return false;
      return (this.positions.get(epoch)?.end ?? -1) < changedTo;
    });
  }
}
