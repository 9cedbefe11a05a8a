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
const COARSE_MS = 30 * MINUTE_MS;

/** Lengths of the windows that burn rates are taken over, in ms. */
export const BURN_WINDOWS_MS = [
  5 * MINUTE_MS,
  30 * MINUTE_MS,
  HOUR_MS,
  6 * HOUR_MS,
] as const;
/** The longest window, which is also how long a history reaches back. */
export const HISTORY_MS = 6 * HOUR_MS;

/** Counts of one class within one minute. */
export const minuteSchema = z.object({
  /** Start of the minute, wall-clock ms. */
  at: z.number(),
  cells: z.array(cellSchema),
});

/** Counts over one of [[WINDOWS_MS]]. */
export const windowSchema = z.object({
  windowMs: z.number(),
  cells: z.array(cellSchema),
});

/** Everything an instance can tell about the last [[HISTORY_MS]]. */
export const historySnapshotSchema = z.object({
  /** Wall-clock ms between which requests were counted. */
  from: z.number(),
  to: z.number(),
  /** Counts by class, one entry a minute; workspaces are summed up. */
  minutes: z.array(minuteSchema),
  /** Counts by class and workspace, one entry a window. */
  windows: z.array(windowSchema),
  /** Waste, link bytes and latencies of the longest window. */
  figures: accumulatorSnapshotSchema,
});

/** Counts of one class within one minute. */
export type MinuteCounts = z.infer<typeof minuteSchema>;
/** Counts over one of [[WINDOWS_MS]]. */
export type WindowCounts = z.infer<typeof windowSchema>;
/** Everything an instance can tell about the last [[HISTORY_MS]]. */
export type HistorySnapshot = z.infer<typeof historySnapshotSchema>;

/** Accumulators by time, each for `widthMs`, of which the newest are kept. */
class Buckets {
  private readonly buckets = new Map<number, Accumulator>();

  constructor(
    private readonly widthMs: number,
    private readonly reachMs: number,
  ) {}

  at(time: number): Accumulator {
    const start = Math.floor(time / this.widthMs) * this.widthMs;
    const known = this.buckets.get(start);
    if (known !== undefined) return known;
    const accumulator = new Accumulator();
    this.buckets.set(start, accumulator);
    return accumulator;
  }

  /** Buckets that end within `windowMs` before `now`, with their start. */
  within(windowMs: number, now: number): Array<[number, Accumulator]> {
    return [...this.buckets].filter(
      ([start]) => start + this.widthMs > now - windowMs,
    );
  }

  expire(now: number): void {
    for (const start of this.buckets.keys()) {
      if (start + this.widthMs <= now - this.reachMs) {
        this.buckets.delete(start);
      }
    }
  }
}

/**
 * Keeps what accumulators held over the last hours: by minute and workspace
 * for an hour, by half hour and workspace for the longest window, and by
 * minute and class for all of it. Windows are whole buckets, so that a window
 * may reach back by up to a bucket more than its length.
 */
export class History {
  private readonly fine = new Buckets(MINUTE_MS, HOUR_MS);
  private readonly coarse = new Buckets(COARSE_MS, HISTORY_MS);
  private readonly classes = new Buckets(MINUTE_MS, HISTORY_MS);

  /** Adds the counts of a slice of time that ended at `to`, wall-clock ms. */
  add(slice: Accumulator, to: number): void {
    this.addCells(slice.copyCells(), to);
    this.coarse.at(to - 1).merge(slice);
  }

  /** Adds figures of a slice of time that ended at `to`, wall-clock ms. */
  addSnapshot(figures: AccumulatorSnapshot, to: number): void {
    this.addCells(figures.cells, to);
    this.coarse.at(to - 1).mergeSnapshot(figures);
  }

  /** Returns all that is kept, as of `now`. */
  snapshot(from: number, now: number): HistorySnapshot {
    this.expire(now);
    const all = new Accumulator();
    for (const [, bucket] of this.coarse.within(HISTORY_MS, now)) {
      all.merge(bucket);
    }
    return {
      from: Math.max(from, now - HISTORY_MS),
      to: now,
      minutes: this.classes
        .within(HISTORY_MS, now)
        .map(([at, bucket]) => ({at, cells: bucket.copyCells()}))
        .sort((a, b) => a.at - b.at),
      windows: BURN_WINDOWS_MS.map(windowMs => ({
        windowMs,
        cells: this.cellsWithin(windowMs, now),
      })),
      figures: all.snapshot(),
    };
  }

  /** Forgets what is older than the longest window. */
  expire(now: number): void {
    this.fine.expire(now);
    this.coarse.expire(now);
    this.classes.expire(now);
  }

  private addCells(cells: Cell[], to: number): void {
    const fine = this.fine.at(to - 1);
    const classes = this.classes.at(to - 1);
    for (const cell of cells) {
      fine.addCell(cell);
      classes.addCell({...cell, workspace: ''});
    }
  }

  private cellsWithin(windowMs: number, now: number): Cell[] {
    const buckets = windowMs > HOUR_MS ? this.coarse : this.fine;
    const sum = new Accumulator();
    for (const [, bucket] of buckets.within(windowMs, now)) {
      for (const cell of bucket.copyCells()) sum.addCell(cell);
    }
    return sum.copyCells();
  }
}

/** Sums cells up by a key, such as class or tier. */
export function sumCells(
  cells: readonly Cell[],
  namesOf: (cell: Cell) => Pick<Cell, 'class' | 'tier' | 'workspace'>,
): Cell[] {
  const sums = new Map<string, Cell>();
  for (const cell of cells) {
    const names = namesOf(cell);
    const key = `${names.class}/${names.tier}/${names.workspace}`;
    const sum = sums.get(key) ?? emptyCell(names);
    sums.set(key, sum);
    sum.total += cell.total;
    sum.attained += cell.attained;
    sum.completed += cell.completed;
    sum.tokens += cell.tokens;
    sum.attainedTokens += cell.attainedTokens;
  }
  return [...sums.values()];
}
