import {z} from 'zod';
import type {RequestResult, WasteCause} from './decision.js';
import {
  ClassLatency,
  encodedLatencySchema,
  type EncodedLatency,
} from './latency.js';

/**
 * Upper bound on the cells of an accumulator, and on its entries for links.
 * Beyond it, new workspaces are counted under [[OTHER_WORKSPACES]].
 */
export const MAX_CELLS = 1_000;
/** Name under which workspaces beyond [[MAX_CELLS]] are counted. */
export const OTHER_WORKSPACES = '(others)';

const count = z.number().int().min(0);

/** Schema of [[Cell]]. */
export const cellSchema = z.object({
  class: z.string(),
  tier: count,
  workspace: z.string(),
  /** Requests that ended. */
  total: count,
  /** Requests that completed and met every target. */
  attained: count,
  /** Requests whose complete answer was delivered. */
  completed: count,
  /** Generated tokens of completed requests. */
  tokens: count,
  /** Generated tokens of requests that met every target. */
  attainedTokens: count,
});

/** Schema of [[WastedTokens]]. */
export const wastedTokensSchema = z.object({
  cause: z.string(),
  class: z.string(),
  tokens: count,
});

/** Schema of [[LinkTraffic]]. */
export const linkTrafficSchema = z.object({
  link: z.string(),
  cause: z.string(),
  workspace: z.string(),
  bytes: count,
});

/** Schema of [[AccumulatorSnapshot]]. */
export const accumulatorSnapshotSchema = z.object({
  cells: z.array(cellSchema),
  waste: z.array(wastedTokensSchema),
  links: z.array(linkTrafficSchema),
  latencies: z.array(encodedLatencySchema),
});

/** Counts of the requests of one class, tier and workspace. */
export type Cell = z.infer<typeof cellSchema>;
/** Generated tokens that reached no caller, by cause and class. */
export type WastedTokens = z.infer<typeof wastedTokensSchema>;
/** Bytes sent over a paid link, by cause and workspace. */
export type LinkTraffic = z.infer<typeof linkTrafficSchema>;
/** The contents of an [[Accumulator]] as plain data. */
export type AccumulatorSnapshot = z.infer<typeof accumulatorSnapshotSchema>;

/** Aggregates the results of requests in bounded memory. */
export class Accumulator {
  private readonly cells = new Map<string, Cell>();
  private readonly wastedTokens = new Map<string, WastedTokens>();
  private readonly links = new Map<string, LinkTraffic>();
  private readonly latencies = new Map<string, ClassLatency>();

  get isEmpty(): boolean {
    return this.cells.size + this.wastedTokens.size + this.links.size === 0;
  }

  /** Counts a request that ended. */
  recordResult(result: RequestResult): void {
    const cell = this.cell(result);
    cell.total++;
    if (result.attained) {
      cell.attained++;
      cell.attainedTokens += result.tokens;
    }
    if (result.outcome !== 'completed') return;
    cell.completed++;
    cell.tokens += result.tokens;
    this.latency(result.class).record(result);
  }

  /** Counts generated tokens that reached no caller. */
  addWastedTokens(
    cause: WasteCause | string,
    workClass: string,
    tokens: number,
  ): void {
    if (tokens === 0) return;
    const key = `${cause}/${workClass}`;
    const existing = this.wastedTokens.get(key);
    if (existing === undefined) {
      this.wastedTokens.set(key, {cause, class: workClass, tokens});
    } else {
      existing.tokens += tokens;
    }
  }

  /** Counts bytes sent over a paid link. */
  addLinkBytes(traffic: LinkTraffic): void {
    const isFull = this.links.size >= MAX_CELLS;
    const workspace = isFull ? OTHER_WORKSPACES : traffic.workspace;
    const key = `${traffic.link}/${traffic.cause}/${traffic.workspace}`;
    const existing =
      this.links.get(key) ??
      this.links.get(`${traffic.link}/${traffic.cause}/${workspace}`);
    if (existing !== undefined) {
      existing.bytes += traffic.bytes;
      return;
    }
    this.links.set(`${traffic.link}/${traffic.cause}/${workspace}`, {
      ...traffic,
      workspace,
    });
  }

  /** Adds the contents of another accumulator. */
  merge(other: Accumulator): void {
    for (const cell of other.cells.values()) this.addCell(cell);
    for (const item of other.wastedTokens.values()) {
      this.addWastedTokens(item.cause, item.class, item.tokens);
    }
    for (const traffic of other.links.values()) this.addLinkBytes(traffic);
    for (const [name, latency] of other.latencies) {
      this.latency(name).merge(latency);
    }
  }

  /** Adds a snapshot, such as one of another instance or from the log. */
  mergeSnapshot(snapshot: AccumulatorSnapshot): void {
    for (const cell of snapshot.cells) this.addCell(cell);
    for (const item of snapshot.waste) {
      this.addWastedTokens(item.cause, item.class, item.tokens);
    }
    for (const traffic of snapshot.links) this.addLinkBytes(traffic);
    for (const latency of snapshot.latencies) {
      this.latency(latency.class).mergeEncoded(latency);
    }
  }

  /** Returns a copy of the contents as plain data. */
  snapshot(): AccumulatorSnapshot {
    return {
      cells: this.copyCells(),
      waste: [...this.wastedTokens.values()].map(item => ({...item})),
      links: [...this.links.values()].map(item => ({...item})),
      latencies: this.encodedLatencies(),
    };
  }

  /** Returns copies of the cells. */
  copyCells(): Cell[] {
    return [...this.cells.values()].map(cell => ({...cell}));
  }

  /** The latency histograms of a class, created on first use. */
  latency(className: string): ClassLatency {
    const existing = this.latencies.get(className);
    if (existing !== undefined) return existing;
    const latency = new ClassLatency();
    this.latencies.set(className, latency);
    return latency;
  }

  /** Adds counts to the cell of the same class, tier and workspace. */
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

  private cell(dimensions: Pick<Cell, 'class' | 'tier' | 'workspace'>): Cell {
    const key = `${dimensions.class}/${dimensions.tier}/${dimensions.workspace}`;
    const existing = this.cells.get(key);
    if (existing !== undefined) return existing;
    if (
      this.cells.size >= MAX_CELLS &&
      dimensions.workspace !== OTHER_WORKSPACES
    ) {
      return this.cell({...dimensions, workspace: OTHER_WORKSPACES});
    }
    const cell = emptyCell(dimensions);
    this.cells.set(key, cell);
    return cell;
  }
}

/** Returns a cell without any requests. */
export function emptyCell(
  dimensions: Pick<Cell, 'class' | 'tier' | 'workspace'>,
): Cell {
  return {
    class: dimensions.class,
    tier: dimensions.tier,
    workspace: dimensions.workspace,
    total: 0,
    attained: 0,
    completed: 0,
    tokens: 0,
    attainedTokens: 0,
  };
}
