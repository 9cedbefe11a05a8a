import {z} from 'zod';
import type {RequestResult, WasteCause} from './decision.js';
import {
  ClassLatency,
  encodedLatencySchema,
  type EncodedLatency,
} from './latency.js';

/** Most cells of one accumulator; further workspaces share one cell. */
export const CELLS_LIMIT = 1_000;
/** Stands for the workspaces beyond [[CELLS_LIMIT]]. */
export const OTHER_WORKSPACES = '(others)';

const count = z.number().int().min(0);

/** Counts of the requests of one class, tier and workspace. */
export const cellSchema = z.object({
  class: z.string(),
  tier: count,
  workspace: z.string(),
  /** Requests that ended. */
  total: count,
  /** Requests that were answered whole and met every target. */
  attained: count,
  /** Requests that were answered whole. */
  completed: count,
  /** Tokens of whole answers. */
  tokens: count,
  /** Tokens of answers that met every target. */
  attainedTokens: count,
});

/** Tokens generated for no caller, by cause and class. */
export const wasteSchema = z.object({
  cause: z.string(),
  class: z.string(),
  tokens: count,
});

/** Bytes sent over a paid link, by cause and workspace. */
export const linkUseSchema = z.object({
  link: z.string(),
  cause: z.string(),
  workspace: z.string(),
  bytes: count,
});

/** What an [[Accumulator]] holds, as plain data. */
export const accumulatorSnapshotSchema = z.object({
  cells: z.array(cellSchema),
  waste: z.array(wasteSchema),
  links: z.array(linkUseSchema),
  latencies: z.array(encodedLatencySchema),
});

/** Counts of the requests of one class, tier and workspace. */
export type Cell = z.infer<typeof cellSchema>;
/** Tokens generated for no caller, by cause and class. */
export type WastedTokens = z.infer<typeof wasteSchema>;
/** Bytes sent over a paid link, by cause and workspace. */
export type LinkTraffic = z.infer<typeof linkUseSchema>;
/** What an [[Accumulator]] holds, as plain data. */
export type AccumulatorSnapshot = z.infer<typeof accumulatorSnapshotSchema>;

/** Adds up what happened to requests, within bounds of memory. */
export class Accumulator {
  private readonly cells = new Map<string, Cell>();
  private readonly waste = new Map<string, WastedTokens>();
  private readonly links = new Map<string, LinkTraffic>();
  private readonly latencies = new Map<string, ClassLatency>();

  get isEmpty(): boolean {
    return this.cells.size + this.waste.size + this.links.size === 0;
  }

  /** Counts an ended request. */
  recordResult(observation: RequestResult): void {
    const cell = this.cell(observation);
    cell.total++;
    if (observation.attained) {
      cell.attained++;
      cell.attainedTokens += observation.tokens;
    }
    if (observation.outcome !== 'completed') return;
    cell.completed++;
    cell.tokens += observation.tokens;
    this.latency(observation.class).record(observation);
  }

  /** Counts tokens that no caller got. */
  addWastedTokens(
    cause: WasteCause | string,
    workClass: string,
    tokens: number,
  ): void {
    if (tokens === 0) return;
    const key = `${cause}/${workClass}`;
    const known = this.waste.get(key);
    if (known === undefined) {
      this.waste.set(key, {cause, class: workClass, tokens});
    } else {
      known.tokens += tokens;
    }
  }

  /** Counts bytes sent over a paid link. */
  addLinkBytes(use: LinkTraffic): void {
    const full = this.links.size >= CELLS_LIMIT;
    const workspace = full ? OTHER_WORKSPACES : use.workspace;
    const key = `${use.link}/${use.cause}/${use.workspace}`;
    const known =
      this.links.get(key) ??
      this.links.get(`${use.link}/${use.cause}/${workspace}`);
    if (known !== undefined) {
      known.bytes += use.bytes;
      return;
    }
    this.links.set(`${use.link}/${use.cause}/${workspace}`, {
      ...use,
      workspace,
    });
  }

  /** Adds everything that another holds. */
  merge(other: Accumulator): void {
    for (const cell of other.cells.values()) this.addCell(cell);
    for (const item of other.waste.values()) {
      this.addWastedTokens(item.cause, item.class, item.tokens);
    }
    for (const use of other.links.values()) this.addLinkBytes(use);
    for (const [name, latency] of other.latencies) {
      this.latency(name).merge(latency);
    }
  }

  /** Adds figures that another instance or the log gave. */
  mergeSnapshot(figures: AccumulatorSnapshot): void {
    for (const cell of figures.cells) this.addCell(cell);
    for (const item of figures.waste) {
      this.addWastedTokens(item.cause, item.class, item.tokens);
    }
    for (const use of figures.links) this.addLinkBytes(use);
    for (const latency of figures.latencies) {
      this.latency(latency.class).mergeEncoded(latency);
    }
  }

  /** Returns a copy as plain data. */
  snapshot(): AccumulatorSnapshot {
    return {
      cells: this.copyCells(),
      waste: [...this.waste.values()].map(item => ({...item})),
      links: [...this.links.values()].map(item => ({...item})),
      latencies: this.encodedLatencies(),
    };
  }

  /** Returns copies of the cells. */
  copyCells(): Cell[] {
    return [...this.cells.values()].map(cell => ({...cell}));
  }

  /** The latency histograms of a class, created where there are none. */
  latency(name: string): ClassLatency {
    const known = this.latencies.get(name);
    if (known !== undefined) return known;
    const latency = new ClassLatency();
    this.latencies.set(name, latency);
    return latency;
  }

  /** Adds the counts of a cell to the cell of the same names. */
  addCell(other: Cell): void {
    const cell = this.cell(other);
    cell.total += other.total;
    cell.attained += other.attained;
    cell.completed += other.completed;
    cell.tokens += other.tokens;
    cell.attainedTokens += other.attainedTokens;
  }

  private encodedLatencies(): EncodedLatency[] {
    return [...this.latencies].map(([name, latency]) => latency.encode(name));
  }

  private cell(names: Pick<Cell, 'class' | 'tier' | 'workspace'>): Cell {
    const key = `${names.class}/${names.tier}/${names.workspace}`;
    const known = this.cells.get(key);
    if (known !== undefined) return known;
    if (
      this.cells.size >= CELLS_LIMIT &&
      names.workspace !== OTHER_WORKSPACES
    ) {
      return this.cell({...names, workspace: OTHER_WORKSPACES});
    }
    const cell = emptyCell(names);
    this.cells.set(key, cell);
    return cell;
  }
}

/** Returns a cell without any requests. */
export function emptyCell(
  names: Pick<Cell, 'class' | 'tier' | 'workspace'>,
): Cell {
  return {
    class: names.class,
    tier: names.tier,
    workspace: names.workspace,
    total: 0,
    attained: 0,
    completed: 0,
    tokens: 0,
    attainedTokens: 0,
  };
}
