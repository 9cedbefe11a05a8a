import {z} from 'zod';
import {
  Accumulator,
  cellSchema,
  emptyCell,
  accumulatorSnapshotSchema,
  type Cell,
  type AccumulatorSnapshot,
} from './accumulator.js';

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const HALF_HOUR_MS = 30 * MINUTE_MS;

/** Lengths of the windows over which burn rates are computed, in ms. */
export const BURN_WINDOWS_MS = [
  5 * MINUTE_MS,
  30 * MINUTE_MS,
  HOUR_MS,
  6 * HOUR_MS,
] as const;
/** Length of the longest window and retention of a history, in ms. */
export const HISTORY_MS = 6 * HOUR_MS;

/** Schema of [[MinuteCounts]]. */
export const minuteCountsSchema = z.object({
  /** Start of the minute, in wall-clock ms. */
  at: z.number(),
  cells: z.array(cellSchema),
});

/** Schema of [[WindowCounts]]. */
export const windowCountsSchema = z.object({
  windowMs: z.number(),
  cells: z.array(cellSchema),
});

/** Schema of [[HistorySnapshot]]. */
export const historySnapshotSchema = z.object({
  /** Start and end of the counted period, in wall-clock ms. */
  from: z.number(),
  to: z.number(),
  /** Counts by class and tier for each minute, summed over workspaces. */
  minutes: z.array(minuteCountsSchema),
  /** Counts by class, tier and workspace for each window. */
  windows: z.array(windowCountsSchema),
  /** All counts, waste, link traffic and latencies of the longest window. */
  figures: accumulatorSnapshotSchema,
});

/** Counts by class and tier of the requests that ended in one minute. */
export type MinuteCounts = z.infer<typeof minuteCountsSchema>;
/** Counts over one of [[BURN_WINDOWS_MS]]. */
export type WindowCounts = z.infer<typeof windowCountsSchema>;
/** All that an instance has counted in the last [[HISTORY_MS]]. */
export type HistorySnapshot = z.infer<typeof historySnapshotSchema>;

/** Accumulators for consecutive periods of `widthMs`; old ones expire. */
class TimeBuckets {
  private readonly buckets = new Map<number, Accumulator>();

  constructor(
    private readonly widthMs: number,
    private readonly retentionMs: number,
  ) {}

  bucketAt(time: number): Accumulator {
    const start = Math.floor(time / this.widthMs) * this.widthMs;
    const existing = this.buckets.get(start);
    if (existing !== undefined) return existing;
    const accumulator = new Accumulator();
    this.buckets.set(start, accumulator);
    return accumulator;
  }

  /** Start times and buckets that end in the `windowMs` before `now`. */
  endingWithin(windowMs: number, now: number): Array<[number, Accumulator]> {
    return [...this.buckets].filter(
      ([start]) => start + this.widthMs > now - windowMs,
    );
  }

  expire(now: number): void {
    for (const start of this.buckets.keys()) {
      if (start + this.widthMs <= now - this.retentionMs) {
        this.buckets.delete(start);
      }
    }
  }
}

/**
 * Keeps counts over time: by minute and workspace for the last hour, by half
 * hour and workspace for the longest window, and by minute and class for the
 * longest window. Windows consist of whole buckets, so a window may be longer
 * than its nominal length by up to one bucket.
 */
export class History {
  private readonly minuteBuckets = new TimeBuckets(MINUTE_MS, HOUR_MS);
  private readonly halfHourBuckets = new TimeBuckets(HALF_HOUR_MS, HISTORY_MS);
  private readonly classBuckets = new TimeBuckets(MINUTE_MS, HISTORY_MS);

  /** Adds the counts of an interval that ended at `to`, in wall-clock ms. */
  add(counts: Accumulator, to: number): void {
    this.addCells(counts.copyCells(), to);
    this.halfHourBuckets.bucketAt(to - 1).merge(counts);
  }

  /** Adds the snapshot of an interval that ended at `to`, in wall-clock ms. */
  addSnapshot(snapshot: AccumulatorSnapshot, to: number): void {
    this.addCells(snapshot.cells, to);
    this.halfHourBuckets.bucketAt(to - 1).mergeSnapshot(snapshot);
  }

  /**
   * Returns all counts as of `now`, given that counting started at `from`, both
   * in wall-clock ms.
   */
  snapshot(from: number, now: number): HistorySnapshot {
    this.expire(now);
    const total = new Accumulator();
    for (const [, bucket] of this.halfHourBuckets.endingWithin(
      HISTORY_MS,
      now,
    )) {
      total.merge(bucket);
    }
    return {
      from: Math.max(from, now - HISTORY_MS),
      to: now,
      minutes: this.classBuckets
        .endingWithin(HISTORY_MS, now)
        .map(([at, bucket]) => ({at, cells: bucket.copyCells()}))
        .sort((a, b) => a.at - b.at),
      windows: BURN_WINDOWS_MS.map(windowMs => ({
        windowMs,
        cells: this.cellsWithin(windowMs, now),
      })),
      figures: total.snapshot(),
    };
  }

  /** Drops the buckets that have expired at `now`, in wall-clock ms. */
  expire(now: number): void {
    this.minuteBuckets.expire(now);
    this.halfHourBuckets.expire(now);
    this.classBuckets.expire(now);
  }

  private addCells(cells: Cell[], to: number): void {
    const minuteBucket = this.minuteBuckets.bucketAt(to - 1);
    const classBucket = this.classBuckets.bucketAt(to - 1);
    for (const cell of cells) {
      minuteBucket.addCell(cell);
      classBucket.addCell({...cell, workspace: ''});
    }
  }

  private cellsWithin(windowMs: number, now: number): Cell[] {
    const buckets =
      windowMs > HOUR_MS ? this.halfHourBuckets : this.minuteBuckets;
    const total = new Accumulator();
    for (const [, bucket] of buckets.endingWithin(windowMs, now)) {
      for (const cell of bucket.copyCells()) total.addCell(cell);
    }
    return total.copyCells();
  }
}

/** Sums cells that have the same `dimensionsOf`, such as class or tier. */
export function sumCells(
  cells: readonly Cell[],
  dimensionsOf: (cell: Cell) => Pick<Cell, 'class' | 'tier' | 'workspace'>,
): Cell[] {
  const sums = new Map<string, Cell>();
  for (const cell of cells) {
    const dimensions = dimensionsOf(cell);
    const key = `${dimensions.class}/${dimensions.tier}/${dimensions.workspace}`;
    const sum = sums.get(key) ?? emptyCell(dimensions);
    sums.set(key, sum);
    sum.total += cell.total;
    sum.attained += cell.attained;
    sum.completed += cell.completed;
    sum.tokens += cell.tokens;
    sum.attainedTokens += cell.attainedTokens;
  }
  return [...sums.values()];
}
